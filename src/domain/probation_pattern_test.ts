import assert from "node:assert/strict";
import { it } from "node:test";
import {
  createBench,
  ended,
  listing,
  listWorkers,
  reportFrom,
  startsIn,
  step,
  submit,
  tick,
} from "./testing/domain_bench.ts";

it("a gang is not starved if every worker has failed and nothing else comes", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step({ taskCount: 3 })], { maxAttempts: 1 });
  reportFrom(bench, "w1", {
    ended: [0, 1, 2].map((index) =>
      ended(index + 1, `a.0.0.${index}`, 1, "failed")
    ),
  });
  submit(bench, "b", [step({ taskCount: 2, gang: true })]);
  tick(bench, 5_000);
  const startsOfGang = () =>
    startsIn(bench.commands).filter(({ task }) => task.startsWith("b."));
  assert.equal(startsOfGang().length, 0);
  tick(bench, 5_000);
  assert.equal(startsOfGang().length, 2);
});

// Guards against LOST: a gang waited for 16 s, as a worker that had failed often
// was in quarantine for 8 s and then on probation for 8 s, while it was idle.
it("a gang starts within 14 s of the last failure, however many there were", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step({ taskCount: 8 })], { maxAttempts: 1 });
  reportFrom(bench, "w1", {
    ended: [0, 1, 2, 3, 4, 5, 6, 7].map((index) =>
      ended(index + 1, `a.0.0.${index}`, 1, "failed")
    ),
  });
  submit(bench, "b", [step({ taskCount: 2, gang: true })]);
  tick(bench, 13_900);
  const starts = startsIn(bench.commands).filter(({ task }) =>
    task.startsWith("b.")
  );
  assert.equal(starts.length, 2);
});
