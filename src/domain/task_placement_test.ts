import assert from "node:assert/strict";
import { it } from "node:test";
import { NO_RESOURCES } from "../model/mod.ts";
import {
  createBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  step,
  submit,
} from "./testing/domain_bench.ts";

// Guards against allocations that are never released, with which a worker looks
// full for ever.
it("a task placed on a worker that still lists an earlier run of it leaks no capacity", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step()]);
  feedEvent(bench, { kind: "workerLapsed", worker: "w1" });
  reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] });
  reportFrom(bench, "w1", {
    running: [running("a.0.0.0", 2)],
    ended: [ended(1, "a.0.0.0", 1, "stopped")],
  });
  reportFrom(bench, "w1", { ended: [ended(2, "a.0.0.0", 2, "done")] });
  const worker = bench.domain.workers.get("w1");
  assert.equal(worker?.placed.size, 0);
  assert.deepEqual(worker?.used, NO_RESOURCES);
});
