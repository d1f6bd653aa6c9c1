/**
 * Guards against needless load on the store: in a deployment of hundreds of
 * instances, only a few need a list that changes all the time.
 */
import assert from "node:assert/strict";
import { it } from "node:test";
import { ok } from "neverthrow";
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
