import assert from "node:assert/strict";
import { it } from "node:test";
import type { DomainCommand } from "./domain_command.ts";
import {
  createBench,
  type DomainBench,
  ended,
  listing,
  listWorkers,
  reportFrom,
  startsIn,
  step,
  submit,
} from "./testing/domain_bench.ts";

const WORKERS = ["w1", "w2", "w3", "w4"];
const TASKS_PER_WORKER = 4;
const QUARTER_WORKER = { cpuMillis: 2_000, memoryMb: 1_000, accelerators: 0 };

/** Has each worker report its started tasks as failed. */
function failAll(bench: DomainBench, commands: DomainCommand[]): void {
  for (const id of WORKERS) {
    const failed = startsIn(commands).filter(({ worker }) => worker === id);
    assert.equal(failed.length, TASKS_PER_WORKER);
    reportFrom(bench, id, {
      ended: failed.map(({ task, attempt }, index) =>
        ended(index + 1, task, attempt, "failed")
      ),
    });
  }
}

// Guards against quarantines of sound workers for a step that fails anywhere,
// during which a gang found no worker although all of them were idle.
it("a step that fails on every worker does not keep a gang from starting", () => {
  const bench = createBench();
  listWorkers(bench, ...WORKERS.map((id) => listing(id)));
  const taskCount = WORKERS.length * TASKS_PER_WORKER;
  const commands = submit(bench, "hopeless", [
    step({ taskCount, demand: QUARTER_WORKER }),
  ], { maxAttempts: 1 });
  failAll(bench, commands);
  // The failures on the first worker alone do not show that others fail, too.
  const gang = step({
    taskCount: taskCount - TASKS_PER_WORKER,
    demand: QUARTER_WORKER,
    gang: true,
  });
  const starts = startsIn(submit(bench, "g", [gang]));
  assert.equal(starts.length, gang.taskCount);
});

it("a worker that fails what others complete is quarantined", () => {
  const bench = createBench();
  listWorkers(bench, ...WORKERS.map((id) => listing(id)));
  const taskCount = WORKERS.length * TASKS_PER_WORKER;
  const starts = startsIn(
    submit(bench, "a", [step({ taskCount, demand: QUARTER_WORKER })]),
  );
  for (const id of WORKERS) {
    const end = id === "w4" ? "failed" : "done";
    reportFrom(bench, id, {
      ended: starts.filter(({ worker }) => worker === id)
        .map(({ task, attempt }, index) =>
          ended(index + 1, task, attempt, end)
        ),
    });
  }
  const all = submit(bench, "b", [step({ taskCount })]);
  assert.ok(startsIn(all).every(({ worker }) => worker !== "w4"));
});
