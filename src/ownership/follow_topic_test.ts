/**
 * Guards against needless load on the store: in a deployment of hundreds of
 * instances, only a few need a list that changes all the time.
 */
import assert from "node:assert/strict";
import { it } from "node:test";
import { err, ok } from "neverthrow";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { KeyedRecord, StoreHost } from "../hosts/mod.ts";
import { followTopic } from "./follow_topic.ts";

const STEPS = 30;
const ENTRY = { key: "w", value: "ready" };

it("pattern: a topic is read only while needed, each time from a snapshot", async () => {
  const controller = new AbortController();
  const calls: string[] = [];
  const snapshots: KeyedRecord[][] = [];
  let isWanted = false;
  let steps = 0;
  const answer = (call: string) => {
    calls.push(call);
    return Promise.resolve(ok({ records: [ENTRY], nextOffset: 7 }));
  };
  await followTopic({
    store: {
      newest: () => answer("newest"),
      read: () => answer("read"),
    } as unknown as StoreHost,
    clock: createManualClock(),
    logger: silentLogger,
    partition: { topic: "workers", number: 0 },
    waitMs: 0,
    pauseMs: () => 10,
    isWanted() {
      steps += 1;
      if (steps === STEPS) controller.abort();
      isWanted = steps > 10 && steps < 14 || steps > 20 && steps < 22;
      return isWanted;
    },
    onSnapshot: (records) => snapshots.push(records),
    onRecords() {},
    signal: controller.signal,
  });
  assert.deepEqual(calls, ["newest", "read", "read", "newest"]);
  // Records that are no longer kept up to date are replaced by an empty list.
  assert.deepEqual(snapshots, [[ENTRY], [], [ENTRY], []]);
});

// Guards against a configuration that counts as confirmed, although the records
// of the answer were not applied or the read took long.
it("an answer confirms its topic from the sending of the read on", async () => {
  const controller = new AbortController();
  const clock = createManualClock();
  const confirmed: number[] = [];
  const waits: number[] = [];
  let reads = 0;
  const read = async (waitMs = 0) => {
    reads += 1;
    waits.push(waitMs);
    await clock.sleep(1_000, controller.signal);
    if (reads === 5) controller.abort();
    return reads === 3
      ? err({ kind: "unavailable", step: "store.read", message: "refused" })
      : ok({ records: [ENTRY], nextOffset: reads });
  };
  const apply = () => {
    if (reads === 2) throw new Error("odd record");
  };
  await followTopic({
    store: {
      newest: () => read(),
      read: (_: unknown, __: number, waitMs: number) => read(waitMs),
    } as unknown as StoreHost,
    clock,
    logger: silentLogger,
    partition: { topic: "op", number: 0 },
    waitMs: (hasReadFailed) => hasReadFailed ? 0 : 700,
    pauseMs: () => 0,
    onSnapshot: apply,
    onRecords: apply,
    onConfirmed: ({ steadyMs }) => confirmed.push(steadyMs),
    signal: controller.signal,
  });
  // The second was not applied, the third failed, and the last was aborted.
  assert.deepEqual(confirmed, [0, 3_250]);
  assert.deepEqual(waits, [0, 700, 700, 0, 700]);
});

// Guards against a configuration that counts as the newest, although newer ones
// did not fit into the answer.
it("an answer that holds only a part of what was appended confirms nothing", async () => {
  const controller = new AbortController();
  const clock = createManualClock();
  const confirmed: number[] = [];
  let reads = 0;
  const read = async () => {
    reads += 1;
    await clock.sleep(1_000, controller.signal);
    if (reads === 5) controller.abort();
    const page = { records: [ENTRY], nextOffset: reads };
    return ok(reads === 2 || reads === 3 ? { ...page, hasMore: true } : page);
  };
  await followTopic({
    store: { newest: read, read } as unknown as StoreHost,
    clock,
    logger: silentLogger,
    partition: { topic: "op", number: 0 },
    waitMs: 700,
    pauseMs: () => 0,
    onSnapshot() {},
    onRecords() {},
    onConfirmed: ({ steadyMs }) => confirmed.push(steadyMs),
    signal: controller.signal,
  });
  assert.deepEqual(confirmed, [0, 3_000]);
});

// Guards against an instance that stops following a list, because its use of one
// record failed.
it("a topic is followed further after records could not be applied", async () => {
  const controller = new AbortController();
  const errors: unknown[] = [];
  const applied: string[] = [];
  let offset = 0;
  const answer = () => {
    offset += 1;
    const record = { key: `${offset}`, value: "ready" };
    return Promise.resolve(ok({ records: [record], nextOffset: offset }));
  };
  const apply = ([record]: KeyedRecord[]) => {
    if (offset === 4) controller.abort();
    if (offset < 3) throw new Error(`odd record ${record?.key}`);
    applied.push(record?.key ?? "");
  };
  await followTopic({
    store: { newest: answer, read: answer } as unknown as StoreHost,
    clock: createManualClock(),
    logger: {
      ...silentLogger,
      error(message: string) {
        errors.push(message);
      },
    },
    partition: { topic: "workers", number: 0 },
    waitMs: 0,
    pauseMs: () => 10,
    onSnapshot: apply,
    onRecords: apply,
    signal: controller.signal,
  });
  assert.deepEqual(applied, ["3", "4"]);
  assert.equal(errors.length, 2);
});
