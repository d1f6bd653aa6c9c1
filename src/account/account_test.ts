import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { test } from "node:test";
import * as fc from "fast-check";
import * as v from "valibot";
import {
  createLogState,
  DAY_MS,
  foldPage,
  HOUR_MS,
  type LogState,
} from "../log_state/mod.ts";
import type { Agreement, Manifest, Resources } from "../model/mod.ts";
import {
  type Account,
  accountSchema,
  buildAccount,
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

/** Adds one entry to a state. */
function fold(state: LogState, atMs: number, data: unknown): void {
  const offset = state.nextOffset;
  const entries = [{ offset, atMs, data }];
  foldPage(state, { entries, firstOffset: 0, nextOffset: offset + 1 });
}

function publish(state: LogState, atMs: number, manifest: Manifest): void {
  fold(state, atMs, {
    kind: "manifest",
    changeId: `change-${atMs}`,
    baseVersion: state.version,
    author: "pipeline",
    manifest,
  });
}

function usage(
  hour: number,
  worker: string,
  name: string,
  cores: number,
  observedMs = HOUR_MS,
) {
  const hourMs = START_MS + hour * HOUR_MS;
  const agreed = MANIFEST.agreements.find((row) => row.name === name);
  return {
    kind: "usage",
    observer: "kigali-1",
    usage: [{
      worker,
      token: 3,
      hourMs,
      customer: agreed?.customer,
      agreement: name,
      cpuMillisMs: cores * 1_000 * observedMs,
      memoryMbMs: cores * 1_024 * observedMs,
      acceleratorMs: name === "portrait" ? observedMs : 0,
    }],
    observed: [{ worker, token: 3, hourMs, observedMs }],
  };
}

/** Six hours of two workers; one was not observed for two of them. */
function busyState(): LogState {
  const state = createLogState();
  publish(state, START_MS, MANIFEST);
  for (const hour of [0, 1, 2, 3, 4, 5]) {
    const atMs = START_MS + (hour + 1) * HOUR_MS;
    fold(state, atMs, usage(hour, "w1", "bulk", 3));
    const isCutOff = hour === 2 || hour === 3;
    if (!isCutOff) fold(state, atMs, usage(hour, "w2", "portrait", 1));
  }
  return state;
}

/** Compares with a file, or writes it when UPDATE_GOLDEN is set. */
function assertGolden(name: string, text: string): void {
  const url = new URL(`../../../src/account/golden/${name}`, import.meta.url);
  if (process.env.UPDATE_GOLDEN !== undefined) writeFileSync(url, text);
  assert.equal(text, readFileSync(url, "utf8"));
}

function rowOf(account: Account, name: string, resource = "cpuMillis") {
  return account.rows.find((row) =>
    row.agreement === name && row.resource === resource
  );
}

test("account: table, CSV and JSON of a month with a cut-off worker", () => {
  const account = buildAccount(busyState(), DECEMBER);
  assertGolden("account.txt", renderAccountTable(account));
  assertGolden("account.csv", renderAccountCsv(account));
  assertGolden("account.json", JSON.stringify(account, undefined, 2) + "\n");
  assert.deepEqual(v.parse(accountSchema, account), account);
});

test("account: hours that nobody observed are not counted as unused", () => {
  const account = buildAccount(busyState(), DECEMBER);
  assert.equal(account.observedHours, 10);
  assert.equal(account.unobservedHours, 2);
});

test("account: with nothing observed the use is unobserved, not zero", () => {
  const state = createLogState();
  publish(state, START_MS, MANIFEST);
  fold(state, START_MS + DAY_MS, { kind: "other" });
  const account = buildAccount(state, DECEMBER);
  assert.equal(rowOf(account, "desk")?.used, undefined);
  assert.equal(rowOf(account, "desk")?.agreed, 96);
  assertGolden("unobserved.txt", renderAccountTable(account));
});

test("account: overuse is covered by what others left unused", () => {
  const account = buildAccount(busyState(), DECEMBER);
  assert.equal(rowOf(account, "bulk")?.overuse, 12);
  const lent = account.rows
    .filter((row) => row.resource === "cpuMillis")
    .reduce((total, row) => total + (row.lent ?? 0), 0);
  assert.ok(Math.abs(lent - 12) < 0.01);
});

test("account: a change of the manifest counts from when it came in", () => {
  const state = createLogState();
  publish(state, START_MS, MANIFEST);
  const [desk] = MANIFEST.agreements;
  assert.ok(desk);
  const doubled = { ...desk, share: { ...desk.share, cpuMillis: 8_000 } };
  publish(state, START_MS + 10 * HOUR_MS, {
    customers: MANIFEST.customers,
    agreements: [doubled],
  });
  fold(state, START_MS + 30 * HOUR_MS, { kind: "other" });
  const account = buildAccount(state, DECEMBER);
  assert.equal(rowOf(account, "desk")?.agreed, 10 * 4 + 20 * 8);
  assert.equal(rowOf(account, "bulk")?.agreed, 10);
});

test("account: a month holds its own days only", () => {
  const state = createLogState();
  publish(state, START_MS - 2 * HOUR_MS, MANIFEST);
  fold(state, START_MS, usage(-1, "w1", "desk", 1));
  fold(state, START_MS + HOUR_MS, usage(0, "w1", "desk", 2));
  const november = parseMonth("2026-11") ?? assert.fail();
  const before = buildAccount(state, november);
  assert.equal(before.closed, true);
  assert.equal(rowOf(before, "desk")?.used, 1);
  assert.equal(rowOf(before, "desk")?.agreed, 8);
  const after = buildAccount(state, DECEMBER);
  assert.equal(after.closed, false);
  assert.equal(rowOf(after, "desk")?.used, 2);
  assert.equal(rowOf(after, "desk")?.agreed, 4);
});

test("account: repeats and reorderings of records change nothing", () => {
  const records = [0, 1, 2].flatMap((hour) => [
    usage(hour, "w1", "bulk", hour + 1),
    usage(hour, "w1", "bulk", hour + 1, HOUR_MS / 2),
    usage(hour, "w2", "desk", 2),
  ]);
  const accountOf = (list: unknown[]) => {
    const state = createLogState();
    publish(state, START_MS, MANIFEST);
    for (const record of list) fold(state, START_MS + 3 * HOUR_MS, record);
    return buildAccount(state, DECEMBER);
  };
  const expected = accountOf(records);
  fc.assert(
    fc.property(
      fc.shuffledSubarray([...records, ...records], {
        minLength: 2 * records.length,
      }),
      (shuffled) => assert.deepEqual(accountOf(shuffled), expected),
    ),
    { seed: SEED, numRuns: 200 },
  );
});

test("account: a month is a year and a month", () => {
  for (const label of ["2026-13", "2026-1", "2026", "", "2026-12-01"]) {
    assert.equal(parseMonth(label), undefined);
  }
});
