import assert from "node:assert/strict";
import { it } from "node:test";
import { drainDirtyRecords } from "./records.ts";
import {
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  feedUncommitted,
  listing,
  listWorkers,
  reportFrom,
  simulateTakeover,
  startsIn,
  step,
  submit,
} from "./testing/domain_bench.ts";

/** A job of two tasks, of which the end of the first is stored. */
function createHalfDoneJob(): DomainBench {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step({ taskCount: 2 })]);
  reportFrom(bench, "w1", { ended: [ended(1, "a.0.0.0", 1, "done")] });
  return bench;
}

// Guards against a finished job that runs again: the records of a large commit
// are sent in several appends, and its owner may be lost between two of them.
it("tasks whose ends are stored don't run again after a part of a commit", () => {
  const lastEnd = ended(2, "a.0.0.1", 1, "done");
  const look = { bornMs: 1, running: [], ended: [lastEnd], sentAtMs: 0 };
  const recordCount = 2;
  for (let stored = 0; stored <= recordCount; stored += 1) {
    const bench = createHalfDoneJob();
    feedUncommitted(bench, { kind: "looked", worker: "w1", look });
    const records = drainDirtyRecords(bench.domain);
    assert.equal(records.length, recordCount);
    for (const { key, value } of records.slice(0, stored)) {
      if (value === undefined) bench.store.delete(key);
      else bench.store.set(key, value);
    }
    simulateTakeover(bench);
    bench.commands = [];
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { ended: [lastEnd] });
    const restarted = startsIn(bench.commands).map(({ task }) => task);
    assert.ok(!restarted.includes("a.0.0.0"), `${stored} records stored`);
  }
});
