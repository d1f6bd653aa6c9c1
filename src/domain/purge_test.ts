import assert from "node:assert/strict";
import { it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import {
  createBench,
  ended,
  listing,
  listWorkers,
  reportFrom,
  step,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const KEEP_MS = 120_000;
const CLOCK_STEP_MS = 5_000;

// Guards against a job that is unknown too early, since the clock of its owner is
// ahead of the one by which the job ended.
it("an ended job is kept for long enough although a clock is ahead", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step()]);
  reportFrom(bench, "w1", { ended: [ended(1, "a.0.0.0", 1, "done")] });
  tick(bench, KEEP_MS + CLOCK_STEP_MS - 1);
  assert.equal(jobStateOf(bench.domain, "a"), "completed");
  tick(bench, KEEP_MS);
  assert.equal(jobStateOf(bench.domain, "a"), undefined);
});
