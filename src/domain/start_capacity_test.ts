/**
 * Guards against LIMIT: a start that brings a worker over its capacity, planned
 * on the time at which the tasks there are expected to end (review case 12).
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomness } from "../clients/mod.ts";
import type { Randomness } from "../hosts/mod.ts";
import { addResources, fitsInto, NO_RESOURCES } from "../model/mod.ts";
import type { Step } from "./job.ts";
import { createSchedulingPass } from "./scheduling_pass.ts";
import { startTasks } from "./start_tasks.ts";
import { allocationOf } from "./task_placement.ts";
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
  tick,
} from "./testing/domain_bench.ts";
import type { EndedRun } from "./worker_report.ts";

const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 };
const SEEDS = 60;
const EVENTS_PER_SEED = 250;
const WORKER_IDS = ["w1", "w2", "w3"];
/** Estimates that are missing, far too small, fair and far too large. */
const ESTIMATES_MS = [0, 1, 500, 100_000];

describe("a worker whose tasks have no estimate", () => {
  it("gets no gang before they have ended", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    const lasting = { demand: WHOLE_WORKER, estimateMs: 0 };
    submit(bench, "a", [step({ ...lasting, taskCount: 2 })]);
    const placed = startsIn(bench.commands);
    assert.equal(placed.length, 2);
    bench.commands = [];
    submit(bench, "g", [step({ ...lasting, taskCount: 2, gang: true })]);
    tick(bench, 1_000);
    assert.deepEqual(startsIn(bench.commands), []);
    for (const { worker, task } of placed) {
      reportFrom(bench, worker, { ended: [ended(1, task, 1, "done")] });
    }
    assert.deepEqual(
      startsIn(bench.commands).map(({ task }) => task),
      ["g.0.0.0", "g.0.0.1"],
    );
  });
});

describe("tasks that are to start together", () => {
  it("do not start if a worker lacks capacity for its part of them", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    bench.domain.workers.get("w1")!.isReachable = false;
    const half = { cpuMillis: 5_000, memoryMb: 100, accelerators: 0 };
    submit(bench, "a", [step({ demand: half, taskCount: 2 })]);
    const [run] = bench.domain.waitingSteps;
    const worker = bench.domain.workers.get("w1")!;
    const pass = createSchedulingPass(bench.domain, { steadyMs: 0, wallMs: 0 });
    const placementOf = (index: number) => ({ index, worker, attempt: 1 });
    const both = [placementOf(0), placementOf(1)];
    assert.equal(startTasks(pass, run!, both), undefined);
    assert.deepEqual(startsIn(bench.domain.commands), []);
    assert.equal(run!.waitingCount, 2);
    assert.deepEqual(startTasks(pass, run!, [placementOf(1)]), ["1#1@w1"]);
  });
});

/** A worker that does what it is told, whatever its capacity. */
type SimulatedWorker = {
  id: string;
  bornMs: number;
  isReachable: boolean;
  running: Map<string, { attempt: number; step: Step }>;
  ended: EndedRun[];
  endCount: number;
};

describe("random work on workers that come and go", () => {
  it(`never takes more than their capacity, ${SEEDS} seeds`, () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      assert.equal(findOverfilledWorker(seed), undefined, `seed ${seed}`);
    }
  });
});

/** Returns the worker that a start brought over its capacity, if any. */
function findOverfilledWorker(seed: number): string | undefined {
  const random = createRandomness(seed);
  const bench = createBench();
  const workers = WORKER_IDS.map((id): SimulatedWorker => ({
    id,
    bornMs: 1,
    isReachable: true,
    running: new Map(),
    ended: [],
    endCount: 0,
  }));
  listWorkers(bench, ...WORKER_IDS.map((id) => listing(id)));
  for (let event = 0; event < EVENTS_PER_SEED; event += 1) {
    bench.commands = [];
    bench.nowMs += random.integer(1, 400);
    applyRandomEvent(bench, workers, random, event);
    const overfilled = carryOut(bench, workers);
    if (overfilled !== undefined) return overfilled;
  }
  return undefined;
}

function applyRandomEvent(
  bench: DomainBench,
  workers: SimulatedWorker[],
  random: Randomness,
  event: number,
): void {
  const worker = workers[random.integer(0, workers.length - 1)]!;
  switch (random.integer(0, 9)) {
    case 0:
    case 1:
      return void submit(bench, `j${event}`, randomSteps(random));
    case 2:
      return void feedEvent(bench, {
        kind: "cancelled",
        call: event,
        job: `j${random.integer(0, event)}`,
      });
    case 3:
      worker.isReachable = !worker.isReachable;
      if (worker.isReachable) return report(bench, worker);
      return void feedEvent(bench, { kind: "workerSilent", worker: worker.id });
    case 4:
      return random.integer(0, 9) === 0
        ? restart(bench, worker)
        : void tick(bench, 10);
    default:
      endSomeRun(worker, random);
      return report(bench, worker);
  }
}

function randomSteps(random: Randomness): Step[] {
  const pick = <Item>(items: Item[]) =>
    items[random.integer(0, items.length - 1)]!;
  return Array.from({ length: random.integer(1, 2) }, (_, index) =>
    step({
      taskCount: random.integer(1, 4),
      demand: {
        cpuMillis: pick([0, 500, 4_000, 8_000]),
        memoryMb: pick([0, 100, 4_000, 8_000]),
        accelerators: pick([0, 0, 1, 8]),
      },
      estimateMs: pick(ESTIMATES_MS),
      after: index > 0 && random.integer(0, 1) === 0 ? [0] : [],
      gang: random.integer(0, 2) === 0,
      colocated: random.integer(0, 3) === 0,
      longRunning: random.integer(0, 4) === 0,
      opportunistic: random.integer(0, 4) === 0,
    }));
}

/** The worker executes the orders; returns its id if one overfills it. */
function carryOut(
  bench: DomainBench,
  workers: SimulatedWorker[],
): string | undefined {
  for (const { worker: id, task, attempt } of startsIn(bench.commands)) {
    const worker = workers.find((candidate) => candidate.id === id)!;
    const stepKey = task.slice(0, task.lastIndexOf("."));
    const { step } = bench.domain.steps.get(stepKey)!;
    worker.running.set(task, { attempt, step });
    const { capacity } = listing(id);
    const used = [...worker.running.values()].reduce(
      (sum, run) => addResources(sum, allocationOf(run.step)),
      NO_RESOURCES,
    );
    if (!fitsInto(used, capacity)) return `${id} after ${task}`;
  }
  for (const { worker: id, task } of stopsIn(bench.commands)) {
    const worker = workers.find((candidate) => candidate.id === id)!;
    endRun(worker, task, "stopped");
  }
  return undefined;
}

function endSomeRun(worker: SimulatedWorker, random: Randomness): void {
  const [task] = worker.running.keys();
  if (task === undefined) return;
  endRun(worker, task, random.integer(0, 3) === 0 ? "failed" : "done");
}

function endRun(
  worker: SimulatedWorker,
  task: string,
  end: EndedRun["end"],
): void {
  const run = worker.running.get(task);
  if (run === undefined) return;
  worker.running.delete(task);
  worker.endCount += 1;
  worker.ended.push(ended(worker.endCount, task, run.attempt, end));
}

function report(bench: DomainBench, worker: SimulatedWorker): void {
  if (!worker.isReachable) return;
  reportFrom(bench, worker.id, {
    bornMs: worker.bornMs,
    running: [...worker.running].map(([task, { attempt }]) =>
      running(task, attempt, { percent: 0 })
    ),
    ended: worker.ended,
  });
}

/** A new incarnation under the old id runs nothing. */
function restart(bench: DomainBench, worker: SimulatedWorker): void {
  worker.bornMs += 1;
  worker.running.clear();
  worker.ended = [];
  worker.endCount = 0;
  const bornMsOf = (id: string) => id === worker.id ? worker.bornMs : undefined;
  feedEvent(bench, {
    kind: "workersListed",
    workers: WORKER_IDS.map((id) => {
      const known = bench.domain.workers.get(id)?.listing?.bornMs ?? 1;
      return listing(id, { bornMs: bornMsOf(id) ?? known });
    }),
  });
  report(bench, worker);
}
