import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomness } from "../src/clients/mod.ts";
import { planFaults } from "./plan_faults.ts";
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
