import assert from "node:assert/strict";
import { it } from "node:test";
import {
  createBench,
  type DomainBench,
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

function benchOfWorkers(...ids: string[]): DomainBench {
  const bench = createBench();
  listWorkers(bench, ...ids.map((id) => listing(id)));
  return bench;
}

// Guards against LOST: a task whose start has no answer stayed on its worker
// for as long as that worker answered polls.
it("a task whose start has no answer starts on another worker", () => {
  const bench = benchOfWorkers("w1", "w2");
  const demand = { ...WHOLE_WORKER, cpuMillis: 6_000 };
  const [busy] = startsIn(submit(bench, "busy", [step({ demand })]));
  const [start] = startsIn(submit(bench, "a", [step()]));
  const { task, attempt, worker } = start!;
  const commands = feedEvent(bench, {
    kind: "startAnswered",
    worker,
    task,
    attempt,
    answer: { kind: "rejected", cause: "unanswered", earlierUnknown: true },
  });
  assert.deepEqual(stopsIn(commands).map((stop) => stop.worker), [worker]);
  bench.nowMs += 100;
  assert.deepEqual(startsIn(reportFrom(bench, worker, {})), []);
  feedEvent(bench, { kind: "stopConfirmed", worker, task, attempt });
  bench.nowMs += 100;
  const [restart] = startsIn(reportFrom(bench, worker, {}));
  assert.equal(restart?.worker, busy!.worker);
  assert.equal(restart?.attempt, attempt + 1);
});

// Guards against LOST: a gang was placed on the same workers again and again,
// of which one did not answer its start, so that none of them could work.
it("a gang avoids the worker whose member its others have waited for", () => {
  const bench = benchOfWorkers("w1", "w2", "w3");
  const gang = step({ taskCount: 2, gang: true, demand: WHOLE_WORKER });
  const [first, second] = startsIn(submit(bench, "g", [gang]));
  bench.nowMs += 100;
  const { task, attempt, worker } = first!;
  reportFrom(bench, worker, { running: [running(task, attempt)] });
  bench.nowMs += 3_000;
  reportFrom(bench, worker, { ended: [ended(1, task, attempt, "alone")] });
  feedEvent(bench, { ...second!, kind: "stopConfirmed" });
  bench.nowMs += 100;
  const restarts = startsIn(reportFrom(bench, second!.worker, {}));
  assert.equal(restarts.length, gang.taskCount);
  assert.ok(restarts.every((start) => start.worker !== second!.worker));
});

// Guards against a task that runs on after its stop: the stop counts as
// confirmed once its start has expired, though the worker has not answered it.
it("a stop is sent again to a worker that still lists the run", () => {
  const bench = benchOfWorkers("w1");
  const [start] = startsIn(submit(bench, "a", [step()]));
  const { task, attempt, worker } = start!;
  feedEvent(bench, {
    kind: "startAnswered",
    worker,
    task,
    attempt,
    answer: { kind: "rejected", cause: "unanswered", earlierUnknown: true },
  });
  feedEvent(bench, { kind: "stopConfirmed", worker, task, attempt });
  feedEvent(bench, { kind: "workerSilent", worker });
  bench.nowMs += 100;
  const listed = { running: [running(task, attempt)] };
  assert.equal(stopsIn(reportFrom(bench, worker, listed)).length, 1);
});

// Guards against a gang that is placed in turn on workers that answer no starts,
// since the only sound one did not answer in time once, too.
it("a gang prefers the worker whose starts were unanswered longest ago", () => {
  const bench = benchOfWorkers("w1", "w2");
  const gang = step({ taskCount: 2, gang: true });
  bench.nowMs = 1_000;
  let starts = startsIn(submit(bench, "g", [gang]));
  const used: string[] = [];
  for (let round = 0; round < 4; round += 1) {
    const { worker, attempt } = starts[0]!;
    used.push(worker);
    for (const { task } of starts) {
      feedEvent(bench, {
        kind: "startAnswered",
        worker,
        task,
        attempt,
        answer: { kind: "rejected", cause: "unanswered", earlierUnknown: true },
      });
      feedEvent(bench, { kind: "stopConfirmed", worker, task, attempt });
    }
    // Both workers are out of quarantine and probation.
    bench.nowMs += 20_000;
    starts = startsIn(reportFrom(bench, worker, {}));
  }
  assert.deepEqual(used, ["w1", "w2", "w1", "w2"]);
});
