/**
 * Guards against jobs that fail although most workers are sound: a worker that
 * fails what it starts is idle again at once, and so looks like the best one for
 * the next attempt.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Step } from "./job.ts";
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
  submit,
} from "./testing/domain_bench.ts";

type Start = { worker: string; task: string; attempt: number };

const QUARTER = { cpuMillis: 2_000, memoryMb: 100, accelerators: 0 };

const HALF = { ...QUARTER, cpuMillis: 4_000 };
const LISTINGS = ["w1", "w2", "w3"].map((id) => listing(id));

/** A service of two busy workers, w1 and w2, and an idle one, w3. */
function createBusyService(): DomainBench {
  const bench = createBench();
  listWorkers(bench, ...LISTINGS.slice(0, 2));
  submit(bench, "busy", [step({ taskCount: 2, demand: HALF })]);
  addIdleWorker(bench);
  return bench;
}

function addIdleWorker(bench: DomainBench): void {
  feedEvent(bench, { kind: "workersListed", workers: LISTINGS });
  reportFrom(bench, "w3", {});
}

/** Submits a step, whose first task is then placed. */
function start(bench: DomainBench, id: string, changes: Partial<Step> = {}) {
  const commands = submit(bench, id, [step({ demand: QUARTER, ...changes })]);
  return startsIn(commands)[0]!;
}

/** Has a task fail on its worker; returns where it starts next. */
function fail(bench: DomainBench, { worker, task, attempt }: Start) {
  const { placed, lastEnd } = bench.domain.workers.get(worker)!;
  const others = [...placed].filter(([name]) => name !== task);
  const commands = reportFrom(bench, worker, {
    running: others.map(([name, { run, index }]) =>
      running(name, run.tasks[index]!.attempt)
    ),
    ended: [ended(lastEnd + 1, task, attempt, "failed")],
  });
  return startsIn(commands).find((next) => next.task === task)?.worker;
}

describe("a step that has failed on a worker", () => {
  it("is tried next on another one, although that is busy", () => {
    const bench = createBusyService();
    const first = start(bench, "a");
    assert.equal(first.worker, "w3");
    assert.notEqual(fail(bench, first), "w3");
  });

  it("is tried next on another one if it is a gang", () => {
    const bench = createBusyService();
    const first = start(bench, "a", { gang: true });
    assert.notEqual(fail(bench, first), first.worker);
  });

  it("is tried there again if there is no other", () => {
    const bench = createBench();
    listWorkers(bench, listing("w3"));
    assert.equal(fail(bench, start(bench, "a")), "w3");
  });

  it("is not tried on an idle one that has failed other work", () => {
    const bench = createBench();
    listWorkers(bench, ...LISTINGS.slice(0, 2));
    submit(bench, "busy", [step({ taskCount: 2, demand: HALF })]);
    const first = start(bench, "b");
    addIdleWorker(bench);
    fail(bench, start(bench, "a"));
    assert.equal(fail(bench, first), first.worker === "w1" ? "w2" : "w1");
  });
});
