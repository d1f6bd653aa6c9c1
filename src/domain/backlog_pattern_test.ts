/**
 * The load of a service whose workers are all full, while a backlog grows.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
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

const WORKERS = 40;
const BACKLOG = 300;
const WHOLE = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 };
const QUARTER = { cpuMillis: 2_000, memoryMb: 1_000, accelerators: 0 };

/** Every worker runs one task that takes all of its processor. */
function fullService(): DomainBench {
  const bench = createBench();
  const workers = Array.from(
    { length: WORKERS },
    (_, index) => listing(`w${index}`),
  );
  listWorkers(bench, ...workers);
  submit(bench, "full", [step({ demand: WHOLE, taskCount: WORKERS })]);
  return bench;
}

/** Counts how often the state of a worker is read. */
function countReads(bench: DomainBench): { reads: number } {
  const counted = { reads: 0 };
  for (const worker of bench.domain.workers.values()) {
    const { isReachable: held } = worker;
    Object.defineProperty(worker, "held", {
      get() {
        counted.reads += 1;
        return held;
      },
      set() {},
    });
  }
  return counted;
}

describe("pattern: a backlog behind a service that is full", () => {
  it("costs a pass one look at the workers, however much waits", () => {
    const bench = fullService();
    for (let index = 0; index < BACKLOG; index += 1) {
      submit(bench, `waits-${index}`, [step({ demand: QUARTER })]);
    }
    const counted = countReads(bench);
    assert.deepEqual(startsIn(tick(bench, 10)), []);
    assert.ok(counted.reads <= 2 * WORKERS, `${counted.reads} reads`);
  });

  it("costs no more when each task takes most of a worker", () => {
    const bench = fullService();
    for (let index = 0; index < BACKLOG; index += 1) {
      submit(bench, `waits-${index}`, [step({ demand: WHOLE })]);
    }
    const counted = countReads(bench);
    tick(bench, 10);
    // Room is reserved for as many as half of the workers.
    assert.ok(counted.reads <= WORKERS * WORKERS, `${counted.reads} reads`);
  });

  it("does not keep what still fits from its room", () => {
    const bench = fullService();
    const [first] = startsIn(bench.commands);
    const end = ended(1, first!.task, first!.attempt, "done");
    reportFrom(bench, first!.worker, { ended: [end] });
    const quarters = [step({ demand: QUARTER, taskCount: 5 })];
    const wanted = submit(bench, "wide", quarters);
    assert.equal(startsIn(wanted).length, 4);
    submit(bench, "wider", [step({ demand: WHOLE })]);
    const small = step({ demand: { ...QUARTER, cpuMillis: 0 } });
    assert.equal(startsIn(submit(bench, "small", [small])).length, 1);
  });
});
