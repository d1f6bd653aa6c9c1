/**
 * The load of a list that changes all the time, in a deployment of hundreds of
 * instances: few of them have a use for it.
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

it("pattern: a topic is read only while it is wanted, and anew after", async () => {
  const controller = new AbortController();
  const calls: string[] = [];
  const snapshots: KeyedRecord[][] = [];
  let isWanted = false;
  let steps = 0;
  const note = (call: string) => {
    calls.push(call);
    return Promise.resolve(ok({ records: [ENTRY], nextOffset: 7 }));
  };
  await followTopic({
    store: {
      newest: () => note("newest"),
      read: () => note("read"),
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
  // What was read before counts as gone once nobody keeps it up to date.
  assert.deepEqual(snapshots, [[ENTRY], [], [ENTRY], []]);
});
