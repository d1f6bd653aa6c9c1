import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import type { Manifest, Request } from "../model/mod.ts";
import { foldUsage } from "./fold_usage.ts";
import {
  createLogState,
  createUsageState,
  daysSoFar,
  type LogRecord,
  manifestRecordOf,
  readRecord,
  storeRecord,
} from "./mod.ts";
import {
  agreementOf,
  appendFake,
  catchUp,
  createLogFake,
  SEED,
  USAGE_CLOCK_MS,
  usageRecordArbitrary,
} from "./log_fake_test.ts";

const taskArbitrary = fc.record({
  payload: fc.option(fc.jsonValue(), { nil: undefined }),
  cpuMillis: fc.constantFrom(500, 1_000),
  attempt: fc.constantFrom(1, 1, 1, 2),
});

const requestArbitrary = fc.array(taskArbitrary, { maxLength: 6 }).map(
  (tasks): Request => ({
    id: "kigali.a.1.7.sign",
    customer: "press",
    agreement: "desk",
    work: "proof",
    digest: "d",
    durable: true,
    acceptedAtMs: 7,
    tasks: tasks.map(({ payload, cpuMillis, attempt }, index) => ({
      id: `kigali.a.1.7.sign/${index}`,
      requestId: "kigali.a.1.7.sign",
      index,
      count: tasks.length,
      attempt,
      customer: "press",
      agreement: "desk",
      work: "proof",
      policy: { kind: "gang", holdMs: 1_000 },
      urgency: 5,
      idempotent: true,
      demand: { cpuMillis, memoryMb: 64, accelerators: 0 },
      durationMs: 900,
      payload,
    })),
  }),
);

test("stored record: a request is read as it was stored", () => {
  fc.assert(
    fc.property(requestArbitrary, (request) => {
      const record: LogRecord = { kind: "accepted", request };
      const stored = JSON.parse(JSON.stringify(storeRecord(record)));
      const expected = JSON.parse(JSON.stringify(record));
      const read = JSON.parse(JSON.stringify(readRecord(stored)));
      assert.deepEqual(read, expected);
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test("stored record: usage is read as it was stored, for every order", () => {
  fc.assert(
    fc.property(usageRecordArbitrary, (record) => {
      const stored = JSON.parse(JSON.stringify(storeRecord(record)));
      const read = readRecord(stored);
      assert.ok(read?.kind === "usage");
      const expected = createUsageState();
      foldUsage(expected, record, USAGE_CLOCK_MS);
      const state = createUsageState();
      foldUsage(state, read, USAGE_CLOCK_MS);
      const daysOf = (usage: typeof state) =>
        daysSoFar(usage, undefined, USAGE_CLOCK_MS);
      assert.deepEqual(daysOf(state), daysOf(expected));
      assert.equal(read.usage.length, record.usage.length);
    }),
    { seed: SEED, numRuns: 300 },
  );
});

const manifestArbitrary: fc.Arbitrary<Manifest> = fc.record({
  customers: fc.uniqueArray(fc.constantFrom("a", "b", "c", "d"))
    .map((names) => names.map((name) => ({ name }))),
  agreements: fc.uniqueArray(
    fc.record({
      customer: fc.constantFrom("a", "b", "c"),
      cpuMillis: fc.constantFrom(1, 2),
    }),
    { selector: ({ customer }) => customer },
  ).map((rows) =>
    rows.map(({ customer, cpuMillis }) => ({
      ...agreementOf(customer),
      share: { cpuMillis, memoryMb: 0, accelerators: 0 },
    }))
  ),
}, { noNullPrototype: true });

test("manifest: what is in force is what was published, by any path", () => {
  fc.assert(
    fc.property(
      fc.array(manifestArbitrary, { minLength: 1, maxLength: 6 }),
      (manifests) => {
        const log = createLogFake();
        const state = createLogState();
        manifests.forEach((manifest, index) => {
          const record = manifestRecordOf(state, {
            manifest,
            author: "pipeline",
            changeId: `change-${index}`,
            baseVersion: state.version,
          });
          appendFake(log, record);
          catchUp(log, state, 10);
          assert.deepEqual(state.manifest, manifest);
        });
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test("manifest: a small change of a large manifest is a small record", () => {
  const agreements = Array.from(
    { length: 280 },
    (_, index) => agreementOf(`team-${index}`),
  );
  const manifest: Manifest = { customers: [], agreements };
  const log = createLogFake();
  const state = createLogState();
  const head = { author: "pipeline", changeId: "first", baseVersion: -1 };
  const whole = manifestRecordOf(state, { ...head, manifest });
  appendFake(log, whole);
  catchUp(log, state, 10);
  const change = manifestRecordOf(state, {
    ...head,
    changeId: "second",
    baseVersion: state.version,
    manifest: { customers: [], agreements: agreements.slice(1) },
  });
  const size = (record: LogRecord) => JSON.stringify(record).length;
  assert.ok(size(change) * 100 < size(whole));
  appendFake(log, change);
  catchUp(log, state, 10);
  assert.equal(state.manifest?.agreements.length, 279);
});

test("manifest: a difference from another version loses", () => {
  const log = createLogFake();
  const state = createLogState();
  const publish = (changeId: string, customer: string) =>
    manifestRecordOf(state, {
      author: "pipeline",
      changeId,
      baseVersion: state.version,
      manifest: { customers: [], agreements: [agreementOf(customer)] },
    });
  appendFake(log, publish("first", "a"));
  catchUp(log, state, 10);
  const racing = [publish("second", "b"), publish("third", "c")];
  for (const record of racing) appendFake(log, record);
  catchUp(log, state, 10);
  assert.deepEqual(state.manifest?.agreements, [agreementOf("b")]);
  assert.deepEqual(
    state.history.map(({ accepted }) => accepted),
    [true, true, false],
  );
});
