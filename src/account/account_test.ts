import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { test } from "node:test";
import * as fc from "fast-check";
import * as v from "valibot";
import { DAY_MS } from "../base/mod.ts";
import type { DayUsage } from "../domain/mod.ts";
import {
  createManifestRecords,
  type ManifestRecords,
  parseManifestRecords,
} from "../manifest/manifest_records.ts";
import {
  type Agreement,
  formatAgreementKey,
  type Manifest,
  type Resources,
} from "../model/mod.ts";
import {
  type Account,
  accountSchema,
  type AccountSource,
  accrueAgreedTime,
  addDomainUsage,
  agreedTimeByDay,
  buildAccount,
  type ClusterDayUsage,
  HOUR_MS,
  parseMonth,
  renderAccountCsv,
  renderAccountTable,
} from "./mod.ts";

const SEED = 20_261_204;
const START_MS = Date.UTC(2026, 11, 1);

const DECEMBER = parseMonth("2026-12") ?? assert.fail();

function agreement(name: string, share: Partial<Resources>): Agreement {
  return {
    name,
    customer: name === "bulk" ? "parish-offices" : "press",
    share: { cpuMillis: 0, memoryMb: 0, accelerators: 0, ...share },
    work: [{
      name: "proof",
      policy: { kind: "batch" },
      service: "default",
      urgency: 5,
      idempotent: true,
      durable: false,
      demand: { cpuMillis: 1_000, memoryMb: 512, accelerators: 0 },
      durationMs: 1_000,
    }],
  };
}

const MANIFEST: Manifest = {
  customers: [{ name: "press" }, { name: "parish-offices" }],
  agreements: [
    agreement("desk", { cpuMillis: 4_000, memoryMb: 8_192 }),
    agreement("portrait", { cpuMillis: 2_000, accelerators: 2 }),
    agreement("bulk", { cpuMillis: 1_000, memoryMb: 1_024 }),
  ],
};

/** The records of the manifest by key, as in the store. */
type Store = Map<string, string>;

/** Creates a store in which a manifest has been in force since `atMs`. */
function storeWithManifest(manifest: Manifest, atMs: number): Store {
  const store: Store = new Map();
  recordManifest(store, manifest, atMs);
  return store;
}

/** Records that another manifest came into force. */
function recordManifest(store: Store, manifest: Manifest, atMs: number): void {
  const records = parseStore(store);
  const published = {
    version: (records.inForce?.version ?? -1) + 1,
    changeId: `change-${atMs}`,
    author: "pipeline",
    atMs,
    manifest,
  };
  const changed = createManifestRecords(
    published,
    agreedTimeByDay(records, atMs),
  );
  for (const { key, value = "" } of changed) store.set(key, value);
}

function parseStore(store: Store): ManifestRecords {
  return parseManifestRecords(
    [...store].map(([key, value]) => ({ key, value })),
  );
}

/** Creates the usage that a domain records for a day with one agreement. */
function domainUsage(
  name: string,
  coreHours: number,
  { observedHours = coreHours, unobservedHours = 0 } = {},
): DayUsage {
  const agreed = MANIFEST.agreements.find((row) => row.name === name);
  const customer = agreed?.customer ?? assert.fail();
  return {
    observedMs: observedHours * HOUR_MS,
    unobservedMs: unobservedHours * HOUR_MS,
    untilMs: START_MS,
    used: {
      [formatAgreementKey({ customer, agreement: name })]: {
        cpuMillisMs: coreHours * 1_000 * HOUR_MS,
        memoryMbMs: coreHours * 1_024 * HOUR_MS,
        acceleratorMs: name === "portrait" ? coreHours * HOUR_MS : 0,
      },
    },
  };
}

/** Builds the source of an account from records, as an instance does. */
function accountSource(
  store: Store,
  usage: [day: string, usage: DayUsage][],
  asOfMs: number,
): AccountSource {
  const days = new Map<number, ClusterDayUsage>();
  for (const [day, used] of usage) addDomainUsage(days, day, used);
  accrueAgreedTime(days, parseStore(store), asOfMs);
  return { days, asOfMs, complete: true };
}

const FIRST_DAY = "2026-12-01";

/** Six hours of two domains, one of which had no owner for two hours. */
function sourceWithUnownedDomain(): AccountSource {
  return accountSource(storeWithManifest(MANIFEST, START_MS), [
    [FIRST_DAY, domainUsage("bulk", 18, { observedHours: 6 })],
    [FIRST_DAY, domainUsage("portrait", 4, { unobservedHours: 2 })],
  ], START_MS + 6 * HOUR_MS);
}

/** Compares with a golden file, which UPDATE_GOLDEN rewrites first. */
function assertGolden(name: string, text: string): void {
  const url = new URL(`../../../src/account/golden/${name}`, import.meta.url);
  if (process.env.UPDATE_GOLDEN !== undefined) writeFileSync(url, text);
  assert.equal(text, readFileSync(url, "utf8"));
}

function findRow(account: Account, name: string, resource = "cpuMillis") {
  return account.rows.find((row) =>
    row.agreement === name && row.resource === resource
  );
}

test("account: table, CSV and JSON of a month in which a domain had no owner", () => {
  const account = buildAccount(sourceWithUnownedDomain(), DECEMBER);
  assertGolden("account.txt", renderAccountTable(account));
  assertGolden("account.csv", renderAccountCsv(account));
  assertGolden("account.json", JSON.stringify(account, undefined, 2) + "\n");
  assert.deepEqual(v.parse(accountSchema, account), account);
});

test("account: unobserved hours are not counted as observed", () => {
  const account = buildAccount(sourceWithUnownedDomain(), DECEMBER);
  assert.equal(account.observedHours, 10);
  assert.equal(account.unobservedHours, 2);
});

test("account: without observed time, usage is absent rather than zero", () => {
  const store = storeWithManifest(MANIFEST, START_MS);
  const source = accountSource(store, [], START_MS + DAY_MS);
  const account = buildAccount(source, DECEMBER);
  assert.equal(findRow(account, "desk")?.used, undefined);
  assert.equal(findRow(account, "desk")?.agreed, 96);
  assertGolden("unobserved.txt", renderAccountTable(account));
});

test("account: overuse is covered by the unused amounts of other agreements", () => {
  const account = buildAccount(sourceWithUnownedDomain(), DECEMBER);
  assert.equal(findRow(account, "bulk")?.overuse, 12);
  const lent = account.rows
    .filter((row) => row.resource === "cpuMillis")
    .reduce((total, row) => total + (row.lent ?? 0), 0);
  assert.ok(Math.abs(lent - 12) < 0.01);
});

test("account: a manifest change counts from the time it came into force", () => {
  const [desk] = MANIFEST.agreements;
  assert.ok(desk);
  const doubled = { ...desk, share: { ...desk.share, cpuMillis: 8_000 } };
  const store = storeWithManifest(MANIFEST, START_MS);
  const after = { customers: MANIFEST.customers, agreements: [doubled] };
  recordManifest(store, after, START_MS + 10 * HOUR_MS);
  const used = domainUsage("desk", 1);
  const source = accountSource(
    store,
    [[FIRST_DAY, used]],
    START_MS + 30 * HOUR_MS,
  );
  const account = buildAccount(source, DECEMBER);
  assert.equal(findRow(account, "desk")?.agreed, 10 * 4 + 20 * 8);
  assert.equal(findRow(account, "bulk")?.agreed, 10);
});

test("account: a month includes only its own days", () => {
  const source = accountSource(
    storeWithManifest(MANIFEST, START_MS - 2 * HOUR_MS),
    [
      ["2026-11-30", domainUsage("desk", 1)],
      [FIRST_DAY, domainUsage("desk", 2)],
    ],
    START_MS + HOUR_MS,
  );
  const november = parseMonth("2026-11") ?? assert.fail();
  const before = buildAccount(source, november);
  assert.equal(before.closed, true);
  assert.equal(findRow(before, "desk")?.used, 1);
  assert.equal(findRow(before, "desk")?.agreed, 8);
  const after = buildAccount(source, DECEMBER);
  assert.equal(after.closed, false);
  assert.equal(findRow(after, "desk")?.used, 2);
  assert.equal(findRow(after, "desk")?.agreed, 4);
});

test("account: the result does not depend on the order of the records", () => {
  const usage = ["01", "02", "03"].flatMap((
    day,
    index,
  ): [string, DayUsage][] => [
    [`2026-12-${day}`, domainUsage("bulk", index + 1)],
    [`2026-12-${day}`, domainUsage("bulk", 0.5, { unobservedHours: 1 })],
    [`2026-12-${day}`, domainUsage("desk", 2)],
  ]);
  const store = storeWithManifest(MANIFEST, START_MS);
  const accountOf = (list: [string, DayUsage][]) =>
    buildAccount(accountSource(store, list, START_MS + 3 * DAY_MS), DECEMBER);
  const expected = accountOf(usage);
  fc.assert(
    fc.property(
      fc.shuffledSubarray(usage, { minLength: usage.length }),
      (shuffled) => assert.deepEqual(accountOf(shuffled), expected),
    ),
    { seed: SEED, numRuns: 200 },
  );
});

test("account: publishing the same manifest again leaves the agreed amounts as they are", () => {
  const asOfMs = START_MS + 4 * DAY_MS;
  const accountOf = (hours: number[]) => {
    const store = storeWithManifest(MANIFEST, START_MS);
    for (const hour of hours) {
      recordManifest(store, MANIFEST, START_MS + hour * HOUR_MS);
    }
    return buildAccount(accountSource(store, [], asOfMs), DECEMBER);
  };
  const expected = accountOf([]);
  assert.deepEqual(accountOf([30]), expected);
  assert.deepEqual(accountOf([30, 30, 31, 47, 48, 90]), expected);
});

test("account: an invalid month is rejected", () => {
  for (const label of ["2026-13", "2026-1", "2026", "", "2026-12-01"]) {
    assert.equal(parseMonth(label), undefined);
  }
});
