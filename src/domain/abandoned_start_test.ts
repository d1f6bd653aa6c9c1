import assert from "node:assert/strict";
import { it } from "node:test";
import {
  createBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  startsIn,
  step,
  stopsIn,
  submit,
} from "./testing/domain_bench.ts";

const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 };

// Guards against LIMIT: a task is completed by an abandoned attempt while the
// start of the next one is in flight, and its capacity is given to another task.
it("the capacity of a start in flight is kept until it is certainly stopped", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step({ demand: WHOLE_WORKER })]);
  reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] });
  feedEvent(bench, { kind: "workerSilent", worker: "w1" });
  listWorkers(bench, listing("w1"), listing("w2", { address: "10.0.0.2:1" }));
  feedEvent(bench, { kind: "workerLapsed", worker: "w1" });
  const again = startsIn(bench.commands).at(-1);
  assert.deepEqual([again?.worker, again?.attempt], ["w2", 2]);
  const abandoned = [ended(1, "a.0.0.0", 1, "done")];
  reportFrom(bench, "w1", { ended: abandoned });
  assert.equal(stopsIn(bench.commands).at(-1)?.worker, "w2");
  feedEvent(bench, { kind: "workerSilent", worker: "w1" });
  submit(bench, "b", [step({ demand: WHOLE_WORKER })]);
  const starts = startsIn(bench.commands).length;
  // The poll may have been answered before the start arrived.
  reportFrom(bench, "w2", {});
  assert.equal(startsIn(bench.commands).length, starts);
  const stop = { worker: "w2", task: "a.0.0.0", attempt: 2 };
  feedEvent(bench, { kind: "stopConfirmed", ...stop });
  bench.nowMs += 10;
  reportFrom(bench, "w2", {});
  assert.equal(startsIn(bench.commands).at(-1)?.task, "b.0.0.0");
});
