import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import {
  isStorable,
  type KeyedRecord,
  type StoreFault,
  type StoreHost,
} from "../hosts/mod.ts";
import { createQueueRecorder } from "./queue_recorder.ts";
import { createQueueRecord, parseQueueRecords } from "./queue_records.ts";
import { createQueueSharers } from "./queue_sharers.ts";

const FAULT: StoreFault = {
  kind: "unknown",
  step: "store.append",
  message: "no answer",
};
const PROOFS = { queue: "proofs", address: "desk.example/proofs/" };

/** A recorder on a store that keeps the newest record of each key. */
function createTestSetup(epoch = 5, stored = new Map<string, string>()) {
  const clock = createManualClock();
  const { signal } = new AbortController();
  const state = { appends: 0, failures: 0, reads: 0, failedReads: 0 };
  const unused = () => Promise.reject(new Error("not used here"));
  const apply = (records: KeyedRecord[]) => {
    for (const { key, value } of records) {
      if (value === undefined) stored.delete(key);
      else stored.set(key, value);
    }
  };
  const store: StoreHost = {
    append(_partition, records) {
      state.appends += 1;
      if (state.failures > 0) {
        state.failures -= 1;
        return Promise.resolve(err(FAULT));
      }
      if (!records.every(isStorable)) {
        return Promise.resolve(err({ ...FAULT, kind: "rejected" as const }));
      }
      apply(records);
      return Promise.resolve(ok(undefined));
    },
    newest() {
      state.reads += 1;
      if (state.failedReads > 0) {
        state.failedReads -= 1;
        return Promise.resolve(err(FAULT));
      }
      const records = [...stored].map(([key, value]) => ({ key, value }));
      return Promise.resolve(ok({ records, nextOffset: 0 }));
    },
    read: unused,
    join: unused,
    leave: unused,
    owners: unused,
  };
  const sharers = createQueueSharers(3, clock);
  const recorder = createQueueRecorder({
    sharers,
    store,
    clock,
    logger: silentLogger,
    partition: { topic: "domains", number: 3 },
    epoch,
    signal,
  });
  const records = () =>
    parseQueueRecords(
      [...stored].map(([key, value]) => ({ key, value })),
    ).records;
  const queues = () =>
    records().flatMap((record) => record.queues.map(({ queue }) => queue));
  const sleep = (ms: number) => clock.sleep(ms, signal);
  return { recorder, state, stored, records, queues, sleep, sharers };
}

describe("the recorder of a domain's queues", () => {
  it("writes once for each queue", async () => {
    const { recorder, state, queues } = createTestSetup();
    assert.equal(await recorder.record(PROOFS), true);
    assert.equal(await recorder.record(PROOFS), true);
    assert.equal(state.appends, 1);
    await recorder.record({ queue: "ads" });
    assert.deepEqual(queues(), ["proofs", "ads"]);
  });

  it("joins the records of queues that are used at the same time", async () => {
    const { recorder, state, queues } = createTestSetup();
    await Promise.all(
      ["a", "b", "c", "d"].map((queue) => recorder.record({ queue })),
    );
    assert.equal(state.appends, 2);
    assert.deepEqual(queues(), ["a", "b", "c", "d"]);
  });

  // Guards against TWICE: a job is accepted although no record tells a later
  // configuration that its domain has jobs.
  it("does not confirm a record that the store has not confirmed", async () => {
    const { recorder, state } = createTestSetup();
    state.failures = 100;
    assert.equal(await recorder.record(PROOFS), false);
    state.failures = 1;
    assert.equal(await recorder.record(PROOFS), true);
  });

  it("replaces the record of an earlier owner by what is left", async () => {
    const earlier = createQueueRecord(3, 4, 2, [PROOFS, { queue: "ads" }]);
    const other = createQueueRecord(2, 4, 1, [{ queue: "ads" }]);
    const stored = new Map([earlier, other].map(({ key, value }) => [
      key,
      value!,
    ]));
    const { recorder, records } = createTestSetup(5, stored);
    await recorder.replaceObsolete(records(), new Set(["proofs"]));
    assert.deepEqual(
      records().map(({ partition, epoch, queues }) => [
        partition,
        epoch,
        queues,
      ]),
      [[2, 4, [{ queue: "ads" }]], [3, 5, [PROOFS]]],
    );
  });

  // Guards against TWICE: an owner that has lost its domain removes what its
  // successor relies on.
  it("leaves the records of later owners", async () => {
    const later = createQueueRecord(3, 6, 1, [PROOFS]);
    const stored = new Map([[later.key, later.value!]]);
    const { recorder, records } = createTestSetup(5, stored);
    await recorder.replaceObsolete(records(), new Set());
    assert.equal(records().length, 1);
  });

  it("drops a queue only once it has long been unused and is not held", async () => {
    const { recorder, records, queues, sleep } = createTestSetup();
    await recorder.record(PROOFS);
    await recorder.record({ queue: "ads" });
    await recorder.replaceObsolete(records(), new Set());
    assert.deepEqual(queues(), ["proofs", "ads"]);
    await sleep(60_001);
    await recorder.replaceObsolete(records(), new Set(["ads"]));
    assert.deepEqual(queues(), ["ads"]);
    assert.equal(await recorder.record(PROOFS), true);
    assert.deepEqual(queues(), ["ads", "proofs"]);
  });

  it("records jobs of owners that wrote no record", async () => {
    const { recorder, records, queues } = createTestSetup();
    await recorder.replaceObsolete(records(), new Set(["proofs"]));
    assert.deepEqual(queues(), ["proofs"]);
  });

  it("writes nothing if nothing is obsolete", async () => {
    const { recorder, state, records } = createTestSetup();
    await recorder.replaceObsolete(records(), new Set());
    assert.equal(state.appends, 0);
  });

  // Guards against TWICE: of two domains that record a queue, neither knows of
  // the other one, and both accept the same job.
  it("reads what other domains have recorded after its own record", async () => {
    const other = createQueueRecord(2, 4, 1, [{ ...PROOFS, queue: "former" }]);
    const { recorder, state, stored, sharers } = createTestSetup();
    await recorder.record({ queue: "ads" });
    stored.set(other.key, other.value!);
    await recorder.record(PROOFS);
    assert.deepEqual(sharers.of(PROOFS).map(({ partition }) => partition), [2]);
    assert.deepEqual(sharers.of({ queue: "ads" }), []);
    await recorder.record(PROOFS);
    assert.equal(state.reads, 2);
  });

  // Guards against TWICE: a job is accepted while the domains that may have it
  // are not known.
  it("does not confirm a record without what others have recorded", async () => {
    const { recorder, state } = createTestSetup();
    state.failedReads = 100;
    assert.equal(await recorder.record(PROOFS), false);
    assert.equal(state.appends, 1);
    state.failedReads = 1;
    assert.equal(await recorder.record(PROOFS), true);
    assert.equal(state.appends, 1);
  });

  // Guards against TWICE: a queue that was dropped as unused is used by another
  // domain before it is recorded again.
  it("reads again for a queue that it had dropped", async () => {
    const other = createQueueRecord(2, 4, 1, [PROOFS]);
    const { recorder, records, stored, sharers, sleep } = createTestSetup();
    await recorder.record(PROOFS);
    await sleep(60_001);
    await recorder.replaceObsolete(records(), new Set());
    stored.set(other.key, other.value!);
    assert.equal(await recorder.record(PROOFS), true);
    assert.equal(sharers.of(PROOFS).length, 1);
  });
});

// Guards against queues of which none can be recorded any more, so that each
// submission to them is refused (issue 57, step 2).
describe("a domain with more queues than fit into a record", () => {
  const name = (index: number) => `${index}`.padStart(250, "q");
  const COUNT = 2_000;

  it("records them in several, and replaces them by an owner's own", async () => {
    const { recorder, records, stored } = createTestSetup();
    const queues = Array.from({ length: COUNT }, (_, index) => ({
      queue: name(index),
      address: `desk.example/${index}/`,
    }));
    const isRecorded = await Promise.all(queues.map(recorder.record));
    assert.ok(isRecorded.every(Boolean));
    const found = records().flatMap((record) => record.queues);
    assert.deepEqual(new Set(found), new Set(queues));
    assert.equal(found.length, COUNT);
    const later = createTestSetup(6, stored);
    await later.recorder.replaceObsolete(records(), new Set([name(7)]));
    assert.deepEqual(later.queues(), [name(7)]);
  });

  it("refuses one whose name alone does not fit, and records others", async () => {
    const { recorder, queues } = createTestSetup();
    const refused = recorder.record({ queue: "q".repeat(262_144) });
    assert.equal(await refused, false);
    assert.equal(await recorder.record(PROOFS), true);
    assert.deepEqual(queues(), ["proofs"]);
  });
});
