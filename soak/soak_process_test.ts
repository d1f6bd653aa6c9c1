import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { createRandomness } from "../src/clients/mod.ts";
import { planFaults, planRestarts } from "./plan_faults.ts";
import { runSoak } from "./run_soak.ts";

const PLAN_OPTIONS = { instances: 6, workers: 6, durationMs: 6_000 };

describe("the fault soak", () => {
  it("draws the same faults for the same seed", () => {
    const draw = (seed: number) => [
      ...planFaults(createRandomness(seed), PLAN_OPTIONS),
    ];
    assert.deepEqual(draw(7), draw(7));
    assert.notDeepEqual(draw(7), draw(8));
  });

  it("finds no violation in a short run", async () => {
    const { durationMs } = PLAN_OPTIONS;
    const { violations, workItems } = await runSoak({
      seed: 1,
      durationMs,
      callers: 8,
    });
    assert.deepEqual(violations, []);
    assert.ok(workItems.length > 0);
  });
});

describe("the soak of workers that restart", () => {
  const restarts = {
    workers: 4,
    meanUptimeMs: 5_500,
    deadlyPercent: 0,
    ownerKillIntervalMs: undefined,
  };
  const durationMs = 14_000;
  let violations: string[] = [];
  const isDoubleRun = (line: string) => line.startsWith("twice ");

  before(async () => {
    const result = await runSoak({
      seed: 1,
      durationMs,
      callers: 16,
      restarts,
    });
    violations = result.violations;
  });

  it("restarts each of the workers", () => {
    const randomness = createRandomness(1);
    const faults = [...planRestarts(randomness, { ...restarts, durationMs })]
      .flatMap(({ fault }) => fault.kind === "workerRestarted" ? [fault] : []);
    const workers = new Set(faults.map(({ worker }) => worker));
    assert.equal(workers.size, restarts.workers);
  });

  // Guards against TWICE: a worker that has started again takes starts, leases
  // and acknowledgements that were meant for its former incarnation.
  it("finds no task that ran twice", () => {
    assert.deepEqual(violations.filter(isDoubleRun), []);
  });

  // Guards against LOST: a job fails for crashes that its tasks did not cause.
  it("finds no job that failed for the restarts", () => {
    const others = violations.filter((line) => !isDoubleRun(line));
    assert.deepEqual(others, []);
  });
});
