import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import type { Usage } from "../model/mod.ts";
import { foldUsage, forgetUsage, WORKER_RETENTION_MS } from "./fold_usage.ts";
import { SEED } from "./log_fake_test.ts";
import {
  createUsageState,
  DAY_MS,
  daysSoFar,
  HOUR_MS,
  type LogRecordOf,
} from "./mod.ts";

const START_MS = Date.UTC(2026, 11, 1);
const CLOCK_MS = START_MS + 6 * DAY_MS;

type UsageRecord = LogRecordOf<"usage">;

function usageAt(hour: number, cpuMillisMs: number, worker = "w1"): Usage {
  return {
    worker,
    token: 1,
    hourMs: START_MS + hour * HOUR_MS,
    customer: "press",
    agreement: "desk",
    cpuMillisMs,
    memoryMbMs: 0,
    acceleratorMs: 0,
  };
}

function recordOf(
  usage: Usage[],
  observedMs: number | undefined = undefined,
): UsageRecord {
  const observed = observedMs === undefined ? [] : usage.map((item) => ({
    worker: item.worker,
    token: item.token,
    hourMs: item.hourMs,
    observedMs,
  }));
  return { kind: "usage", observer: "i1", usage, observed };
}

function foldRecords(records: UsageRecord[], clockMs = CLOCK_MS) {
  const state = createUsageState();
  for (const record of records) foldUsage(state, record, clockMs);
  return state;
}

/** Each worker's records within the hours that stay open, in any order. */
const windowArbitrary = fc.array(
  fc.record({
    worker: fc.constantFrom("w1", "w2"),
    token: fc.integer({ min: 1, max: 2 }),
    hour: fc.integer({ min: 4, max: 6 }),
    amount: fc.integer({ min: 0, max: 1_000 }),
    observedMs: fc.integer({ min: 0, max: HOUR_MS }),
  }),
  { maxLength: 20 },
).map((rows) =>
  rows.map(({ worker, token, hour, amount, observedMs }): UsageRecord => {
    const item = { ...usageAt(hour, amount, worker), token };
    return recordOf([item], observedMs);
  })
);

test("usage: repeats and reorderings change nothing", () => {
  fc.assert(
    fc.property(
      windowArbitrary.chain((records) =>
        fc.tuple(
          fc.constant(records),
          fc.shuffledSubarray([...records, ...records], {
            minLength: 2 * records.length,
          }),
        )
      ),
      ([records, shuffled]) => {
        const plain = daysSoFar(foldRecords(records), undefined, CLOCK_MS);
        const other = daysSoFar(foldRecords(shuffled), undefined, CLOCK_MS);
        assert.deepEqual(other, plain);
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test("usage: the largest cumulative record of an hour holds", () => {
  const state = foldRecords([
    recordOf([usageAt(0, 5)]),
    recordOf([usageAt(0, 9)]),
    recordOf([usageAt(0, 7)]),
  ]);
  const day = daysSoFar(state, undefined, CLOCK_MS).get(START_MS);
  assert.equal(day?.used.get("press/desk")?.cpuMillisMs, 9);
});

test("usage: an hour reported under two tokens counts both", () => {
  const state = foldRecords([
    recordOf([usageAt(0, 5), { ...usageAt(0, 2), token: 2 }]),
  ]);
  const day = daysSoFar(state, undefined, CLOCK_MS).get(START_MS);
  assert.equal(day?.used.get("press/desk")?.cpuMillisMs, 7);
});

test("usage: after an outage of the log no hour is dropped", () => {
  const hours = Array.from({ length: 48 }, (_, hour) => hour);
  const state = foldRecords(
    hours.map((hour) => recordOf([usageAt(hour, 1)], HOUR_MS)),
  );
  const days = daysSoFar(state, undefined, CLOCK_MS);
  const total = [...days.values()].map((day) =>
    day.used.get("press/desk")?.cpuMillisMs
  );
  assert.deepEqual(total, [24, 24]);
  assert.equal(state.refusedRecords, 0);
});

test("usage: one record of many hours, in any order, drops none", () => {
  const hours = [7, 0, 3, 11, 5, 1, 9];
  const usage = hours.map((hour) => usageAt(hour, 1));
  const state = foldRecords([recordOf(usage, HOUR_MS)]);
  const day = daysSoFar(state, undefined, CLOCK_MS).get(START_MS);
  assert.equal(day?.used.get("press/desk")?.cpuMillisMs, hours.length);
  assert.equal(day?.observedMs, hours.length * HOUR_MS);
  assert.equal(state.refusedRecords, 0);
});

test("usage: hours without a record are unobserved, not zero", () => {
  const state = foldRecords([
    recordOf([usageAt(0, 1)], HOUR_MS),
    recordOf([usageAt(5, 1)], HOUR_MS / 2),
  ]);
  const day = daysSoFar(state, undefined, CLOCK_MS).get(START_MS);
  assert.equal(day?.observedMs, 1.5 * HOUR_MS);
  assert.equal(day?.unobservedMs, 4.5 * HOUR_MS);
});

test("usage: closing an hour does not change what it adds up to", () => {
  const records = [0, 1, 4, 5, 9, 30].map((hour) =>
    recordOf([usageAt(hour, hour + 1)], HOUR_MS / 4)
  );
  const state = createUsageState();
  const seen = [];
  for (const record of records) {
    foldUsage(state, record, CLOCK_MS);
    seen.push(
      daysSoFar(state, undefined, CLOCK_MS).get(START_MS)?.unobservedMs,
    );
  }
  const missing = seen.map((ms) => (ms ?? 0) / HOUR_MS);
  assert.deepEqual(missing, [0.75, 1.5, 4.25, 5, 8.75, 22.75]);
});

test("usage: a record after the close, or far ahead, is refused", () => {
  const state = foldRecords([
    recordOf([usageAt(6, 1)]),
    recordOf([usageAt(3, 1)]),
    recordOf([usageAt(24 * 400, 1)]),
    recordOf([{ ...usageAt(6, 1), hourMs: START_MS + 17 }]),
  ]);
  assert.equal(state.refusedRecords, 3);
  const day = daysSoFar(state, undefined, CLOCK_MS).get(START_MS);
  assert.equal(day?.used.get("press/desk")?.cpuMillisMs, 1);
});

test("usage: a forgotten worker is closed, and its hours never count twice", () => {
  const state = foldRecords([recordOf([usageAt(0, 1)], HOUR_MS)], START_MS);
  const laterMs = START_MS + WORKER_RETENTION_MS + HOUR_MS;
  forgetUsage(state, laterMs);
  assert.equal(state.workers.size, 0);
  foldUsage(state, recordOf([usageAt(0, 1)], HOUR_MS), laterMs);
  const day = daysSoFar(state, undefined, laterMs).get(START_MS);
  assert.equal(day?.used.get("press/desk")?.cpuMillisMs, 1);
});

test("usage: memory is bounded by workers and days, not by records", () => {
  const state = createUsageState();
  for (let hour = 0; hour < 24 * 90; hour += 1) {
    const clockMs = START_MS + hour * HOUR_MS;
    forgetUsage(state, clockMs);
    foldUsage(state, recordOf([usageAt(hour, 1)], HOUR_MS), clockMs);
  }
  assert.ok(state.days.size <= 64);
  assert.ok(state.workers.get("w1")?.open.length === 3);
});
