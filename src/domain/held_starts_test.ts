import assert from "node:assert/strict";
import { it } from "node:test";
import {
  createBench,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  startsIn,
  step,
  submit,
} from "./testing/domain_bench.ts";

// Guards against TWICE: a task whose start had no answer is started elsewhere
// while an incarnation of its worker that nobody has polled may run it.
it("a start that its worker may still run is not started elsewhere", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step({ taskCount: 2 })]);
  reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] });
  listWorkers(bench, listing("w1"), listing("w2", { address: "10.0.0.2:1" }));
  reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] });
  feedEvent(bench, { kind: "workerSilent", worker: "w1" });
  const lapse = { kind: "workerLapsed", worker: "w1" } as const;
  const heldStarts = ["a.0.0.0", "a.0.0.1"];
  const placed = (commands: Parameters<typeof startsIn>[0]) =>
    startsIn(commands).map(({ worker, task }) => `${task} on ${worker}`);
  // The first task was reported, so its lease is known to have expired.
  const first = placed(feedEvent(bench, { ...lapse, heldStarts }));
  assert.deepEqual(first, ["a.0.0.0 on w2"]);
  assert.deepEqual(placed(feedEvent(bench, lapse)), ["a.0.0.1 on w2"]);
});
