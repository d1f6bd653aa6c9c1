/**
 * Cost of a scheduling pass over a long backlog while no worker of the service
 * has free capacity. Without a bound, each waiting step scans all workers.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { takeAdviceRequest } from "./advice_requests.ts";
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
  tick,
} from "./testing/domain_bench.ts";

const WORKER_COUNT = 40;
const BACKLOG_STEP_COUNT = 300;
const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 };
const QUARTER_WORKER = { cpuMillis: 2_000, memoryMb: 1_000, accelerators: 0 };

/** A gang that fills a worker. */
const QUARTER_GANG = step({
  demand: QUARTER_WORKER,
  taskCount: 4,
  gang: true,
});

/** Creates a service whose workers each run a task on all of their cores. */
function createFullService(): DomainBench {
  const bench = createBench();
  const workers = Array.from(
    { length: WORKER_COUNT },
    (_, index) => listing(`w${index}`),
  );
  listWorkers(bench, ...workers);
  submit(bench, "full", [
    step({ demand: WHOLE_WORKER, taskCount: WORKER_COUNT }),
  ]);
  return bench;
}

/** Counts reads of `isReachable`, as a measure of the workers that are examined. */
function countWorkerReads(bench: DomainBench): { reads: number } {
  const counted = { reads: 0 };
  for (const worker of bench.domain.workers.values()) {
    const { isReachable } = worker;
    Object.defineProperty(worker, "isReachable", {
      get() {
        counted.reads += 1;
        return isReachable;
      },
      set() {},
    });
  }
  return counted;
}

describe("a backlog of a service without free capacity", () => {
  it("costs a pass one scan of the workers, regardless of its length", () => {
    const bench = createFullService();
    for (let index = 0; index < BACKLOG_STEP_COUNT; index += 1) {
      submit(bench, `waits-${index}`, [step({ demand: QUARTER_WORKER })]);
    }
    const counted = countWorkerReads(bench);
    assert.deepEqual(startsIn(tick(bench, 10)), []);
    assert.ok(counted.reads <= 2 * WORKER_COUNT, `${counted.reads} reads`);
  });

  it("costs a bounded number of scans when tasks need whole workers", () => {
    const bench = createFullService();
    for (let index = 0; index < BACKLOG_STEP_COUNT; index += 1) {
      submit(bench, `waits-${index}`, [step({ demand: WHOLE_WORKER })]);
    }
    const counted = countWorkerReads(bench);
    tick(bench, 10);
    // Reservations cover up to half of the workers.
    assert.ok(
      counted.reads <= WORKER_COUNT * WORKER_COUNT,
      `${counted.reads} reads`,
    );
  });

  // Guards against SHORT: each waiting gang scanned all workers in every pass.
  it("costs a bounded number of scans when gangs wait", () => {
    const bench = createFullService();
    for (let index = 0; index < BACKLOG_STEP_COUNT; index += 1) {
      submit(bench, `waits-${index}`, [QUARTER_GANG]);
    }
    const counted = countWorkerReads(bench);
    assert.deepEqual(startsIn(tick(bench, 10)), []);
    // Reservations cover up to half of the workers.
    assert.ok(
      counted.reads <= WORKER_COUNT * WORKER_COUNT,
      `${counted.reads} reads`,
    );
  });

  // Guards against SHORT: the same while some capacity is free.
  it("costs a bounded number of scans when gangs need more than is free", () => {
    const bench = createFullService();
    const [first] = startsIn(bench.commands);
    const end = ended(1, first!.task, first!.attempt, "done");
    reportFrom(bench, first!.worker, { ended: [end] });
    for (let index = 0; index < BACKLOG_STEP_COUNT; index += 1) {
      submit(bench, `waits-${index}`, [{ ...QUARTER_GANG, taskCount: 5 }]);
    }
    const counted = countWorkerReads(bench);
    assert.deepEqual(startsIn(tick(bench, 10)), []);
    assert.ok(
      counted.reads <= WORKER_COUNT * WORKER_COUNT,
      `${counted.reads} reads`,
    );
  });

  // Guards against SHORT: the same while the policy has not decided yet.
  it("costs a pass two scans when gangs wait for advice", () => {
    const bench = createFullService();
    const advice = { decideMs: 9, perWorkerMs: 0.1, validMs: 2_000 };
    for (let index = 0; index < BACKLOG_STEP_COUNT; index += 1) {
      submit(bench, `waits-${index}`, [QUARTER_GANG], { advice });
    }
    const counted = countWorkerReads(bench);
    assert.deepEqual(startsIn(tick(bench, 10)), []);
    assert.equal(bench.domain.adviceQueue.length, BACKLOG_STEP_COUNT);
    assert.ok(counted.reads <= 2 * WORKER_COUNT, `${counted.reads} reads`);
  });

  it("does not block tasks that still fit into free capacity", () => {
    const bench = createFullService();
    const [first] = startsIn(bench.commands);
    const end = ended(1, first!.task, first!.attempt, "done");
    reportFrom(bench, first!.worker, { ended: [end] });
    const quarters = [step({ demand: QUARTER_WORKER, taskCount: 5 })];
    const wanted = submit(bench, "wide", quarters);
    assert.equal(startsIn(wanted).length, 4);
    submit(bench, "wider", [step({ demand: WHOLE_WORKER })]);
    const small = step({ demand: { ...QUARTER_WORKER, cpuMillis: 0 } });
    assert.equal(startsIn(submit(bench, "small", [small])).length, 1);
  });
});

describe("a backlog that waits for advice while capacity is free", () => {
  const advice = { decideMs: 9, perWorkerMs: 0.1, validMs: 2_000 };

  function createUndecidedBacklog(): DomainBench {
    const bench = createBench();
    const workers = Array.from(
      { length: WORKER_COUNT },
      (_, index) => listing(`w${index}`),
    );
    listWorkers(bench, ...workers);
    for (let index = 0; index < BACKLOG_STEP_COUNT; index += 1) {
      const steps = [step({ demand: QUARTER_WORKER })];
      submit(bench, `waits-${index}`, steps, { advice });
    }
    return bench;
  }

  // Guards against SHORT: each step scanned all workers, to place nothing.
  it("costs a pass one worker for each step that is to be requested", () => {
    const bench = createUndecidedBacklog();
    const counted = countWorkerReads(bench);
    tick(bench, 10);
    assert.equal(bench.domain.adviceQueue.length, BACKLOG_STEP_COUNT);
    const most = 2 * BACKLOG_STEP_COUNT + 2 * WORKER_COUNT;
    assert.ok(counted.reads <= most, `${counted.reads} reads`);
  });

  // Guards against SHORT: the same while all requests are in flight.
  it("costs a pass no scan for steps whose request is in flight", () => {
    const bench = createUndecidedBacklog();
    const moment = { steadyMs: bench.nowMs, wallMs: bench.nowMs };
    for (let index = 0; index < BACKLOG_STEP_COUNT; index += 1) {
      assert.ok(takeAdviceRequest(bench.domain, moment, Infinity));
    }
    const counted = countWorkerReads(bench);
    tick(bench, 10);
    assert.ok(counted.reads <= 2 * WORKER_COUNT, `${counted.reads} reads`);
  });
});
