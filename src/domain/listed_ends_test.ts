import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import {
  cancel,
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  simulateTakeover,
  startsIn,
  step,
  stopsIn,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const TASKS = ["a.0.0.0", "a.0.0.1", "a.0.0.2"];

/** Creates a domain in which a worker runs the three tasks of a job. */
function createBenchWithRuns(): DomainBench {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step({ taskCount: TASKS.length })]);
  assert.equal(startsIn(bench.commands).length, TASKS.length);
  for (const task of TASKS) {
    const answer = { kind: "accepted" } as const;
    const started = { worker: "w1", task, attempt: 1, answer };
    feedEvent(bench, { kind: "startAnswered", ...started });
  }
  bench.nowMs += 1_000;
  const runs = TASKS.map((task) => running(task, 1));
  reportFrom(bench, "w1", { running: runs });
  bench.nowMs += 1_000;
  bench.commands = [];
  return bench;
}

// Guards against TWICE: a task whose end follows the listed ones is taken for
// lost, and runs again.
describe("a worker with more ends than it lists at a time", () => {
  const first = ended(1, TASKS[0]!, 1, "done");
  const others = [
    ended(2, TASKS[1]!, 1, "done"),
    ended(3, TASKS[2]!, 1, "done"),
  ];

  it("has its other tasks not started again", () => {
    const bench = createBenchWithRuns();
    reportFrom(bench, "w1", { ended: [first], hasMoreEnds: true });
    assert.deepEqual(startsIn(bench.commands), []);
    reportFrom(bench, "w1", { ended: others });
    assert.deepEqual(startsIn(bench.commands), []);
    assert.equal(jobStateOf(bench.domain, "a"), "completed");
  });

  it("has tasks started again that are not listed after all ends", () => {
    const bench = createBenchWithRuns();
    reportFrom(bench, "w1", { ended: [first], hasMoreEnds: true });
    reportFrom(bench, "w1", { ended: others.slice(0, 1) });
    const starts = startsIn(bench.commands).map(({ task }) => task);
    assert.deepEqual(starts, [TASKS[2]]);
  });

  it("has its other tasks not started again after a takeover", () => {
    const bench = createBenchWithRuns();
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { ended: [first], hasMoreEnds: true });
    assert.deepEqual(startsIn(bench.commands), []);
    assert.equal(bench.domain.unsettledWorkers.has("w1"), true);
    reportFrom(bench, "w1", { ended: others });
    assert.deepEqual(startsIn(bench.commands), []);
    assert.equal(bench.domain.unsettledWorkers.has("w1"), false);
    assert.equal(jobStateOf(bench.domain, "a"), "completed");
  });

  it("keeps a task placed whose stop it has confirmed", () => {
    const bench = createBenchWithRuns();
    cancel(bench, "a");
    for (const stop of stopsIn(bench.commands)) {
      feedEvent(bench, { ...stop, kind: "stopConfirmed" });
    }
    bench.nowMs += 100;
    reportFrom(bench, "w1", { ended: [first], hasMoreEnds: true });
    assert.equal(bench.domain.workers.get("w1")?.placed.size, 2);
    reportFrom(bench, "w1", { ended: others });
    assert.equal(bench.domain.workers.get("w1")?.placed.size, 0);
  });

  it("has its other tasks not taken for stalled", () => {
    const bench = createBenchWithRuns();
    for (let second = 0; second < 20; second += 1) {
      tick(bench, 1_000);
      reportFrom(bench, "w1", { ended: [first], hasMoreEnds: true });
    }
    assert.deepEqual(stopsIn(bench.commands), []);
  });
});
