/**
 * What is learned from the durations of tasks: the mean of each queue, and
 * how much slower or faster than it each worker is.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { StepRun } from "./step_run.ts";

/** Weight of the latest task in the mean of its queue. */
const QUEUE_WEIGHT = 0.05;
/** Weight of the latest task in the slowness of its worker. */
const WORKER_WEIGHT = 0.08;
/** The most that one task may say about a worker. */
const MAX_RATIO = 6;

/** Takes in how long a task took from its placement to its end. */
export function noteDuration(
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
    mean + QUEUE_WEIGHT * (durationMs - mean),
  );
  const ratio = Math.min(MAX_RATIO, durationMs / Math.max(1, mean));
  const { health } = worker;
  health.slowdown += WORKER_WEIGHT * (ratio - health.slowdown);
}
