import type { StepRun } from "../step_run.ts";

/**
 * Names what the tasks of a step run. The queue stands for steps without an
 * image.
 *
 * @example
 * ```ts
 * imageOf(run); // "viewer-4", or "queue proofs"
 * ```
 */
export function imageOf(
  { step, jobRun }: Pick<StepRun, "step" | "jobRun">,
): string {
  return step.image ?? `queue ${jobRun.job.policy.queue}`;
}
