import assert from "node:assert/strict";
import process from "node:process";
import * as fc from "fast-check";
import { type ModelSchedule, runSchedule } from "./model_schedule.ts";

/** Schedules in each file; four files make 10,000 in CI. */
const DEFAULT_SCHEDULES = 2_500;

/**
 * Runs schedules until one violates what must hold, and shrinks that one.
 * `MODEL_SCHEDULES` sets how many, `MODEL_SEED` is added to the seed.
 */
export function checkSchedules(
  schedules: fc.Arbitrary<ModelSchedule>,
  seed: number,
): void {
  const numRuns = Number(process.env["MODEL_SCHEDULES"] ?? DEFAULT_SCHEDULES);
  const offset = Number(process.env["MODEL_SEED"] ?? 0);
  let started = 0;
  let denied = 0;
  fc.assert(
    fc.property(schedules, (schedule) => {
      const { checks } = runSchedule(schedule);
      started += checks.counts.get("started") ?? 0;
      denied += checks.counts.get("didNotRun") ?? 0;
      assert.deepEqual(checks.violations, []);
    }),
    { seed: seed + offset, numRuns },
  );
  // The schedules must reach runs and denials, or they say nothing.
  assert.ok(started >= numRuns, `${started} runs in ${numRuns} schedules`);
  assert.ok(denied >= numRuns / 50, `${denied} denials in ${numRuns}`);
}
