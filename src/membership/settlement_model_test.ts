import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import fc from "fast-check";
import { createZoneModel, runStep, STEP_KINDS } from "./testing/zone_model.ts";

const SEED = 20_251;
const RUNS = Number(process.env["SETTLEMENT_SCHEDULES"] ?? 5_000);

const schedule = fc.array(
  fc.record({
    kind: fc.constantFrom(...STEP_KINDS),
    a: fc.nat({ max: 2 }),
    b: fc.nat({ max: 11 }),
  }),
  { minLength: 10, maxLength: 120, size: "max" },
);

test("settlement: nothing of a settled incarnation starts afterwards", () => {
  let settled = 0;
  fc.assert(
    fc.property(schedule, (steps) => {
      const zone = createZoneModel();
      for (const step of steps) runStep(zone, step);
      settled += zone.settled.size;
      assert.deepEqual(zone.violations, []);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  // The schedules must reach settlement often enough to say anything.
  assert.ok(settled > RUNS / 100, `${settled} incarnations were settled`);
});
