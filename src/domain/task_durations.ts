/**
 * Statistics of task durations: the moving average of each queue, and the
 * relative slowdown of each worker.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { StepRun } from "./step_run.ts";

/** Weight of the newest task in the moving average of its queue. */
const QUEUE_MEAN_WEIGHT = 0.05;
/** Weight of the newest task in the slowdown of its worker. */
const SLOWDOWN_WEIGHT = 0.08;
/**
 * Upper bound on the ratio of one task's duration to the mean, which limits the
 * effect of outliers on a worker's slowdown.
 */
const MAX_DURATION_RATIO = 6;

/**
 * Updates the statistics with the time from a task's placement to its end.
 * Long-running and opportunistic tasks are ignored.
 */
export function recordTaskDuration(
  domain: Domain,
  worker: DomainWorker,
  run: StepRun,
  durationMs: number,
): void {
  if (run.step.longRunning || run.step.opportunistic) return;
  const { queue } = run.jobRun.job.policy;
  const mean = domain.meanDurationMsByQueue.get(queue) ?? durationMs;
  domain.meanDurationMsByQueue.set(
    queue,
    mean + QUEUE_MEAN_WEIGHT * (durationMs - mean),
  );
  const ratio = Math.min(MAX_DURATION_RATIO, durationMs / Math.max(1, mean));
  const { health } = worker;
  health.slowdown += SLOWDOWN_WEIGHT * (ratio - health.slowdown);
}
