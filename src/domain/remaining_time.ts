import type { PlacedTaskRef } from "./domain_worker.ts";

/**
 * Progress from which extrapolating a task's progress is more accurate than the
 * submitted estimate.
 */
const MIN_RELIABLE_PROGRESS_PERCENT = 8;
const COMPLETE_PERCENT = 100;
/**
 * Lower bound on the remaining time of a task without reliable progress, as a
 * share of its estimate; applies to overdue tasks.
 */
const MIN_REMAINING_SHARE = 0.2;
/**
 * Lower bound on the remaining time, in milliseconds. A task whose work is done
 * keeps its capacity until the worker reports its end.
 */
const MIN_REMAINING_MS = 40;

/**
 * Estimates how long a placed task will keep its capacity, in milliseconds;
 * infinite for long-running tasks. Submitted estimates are often far off, so
 * the progress that the worker reports takes precedence once there is enough.
 */
export function estimateRemainingMs(ref: PlacedTaskRef, nowMs: number): number {
  const { step } = ref.run;
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed") return MIN_REMAINING_MS;
  if (step.longRunning) return Infinity;
  const elapsedMs = nowMs - task.placedAtMs;
  const { phase } = task;
  if (
    phase.kind === "running" && phase.percent >= MIN_RELIABLE_PROGRESS_PERCENT
  ) {
    const measuredMs = phase.progressAtMs - task.placedAtMs;
    const totalMs = measuredMs * COMPLETE_PERCENT / phase.percent;
    return Math.max(MIN_REMAINING_MS, totalMs - elapsedMs);
  }
  return Math.max(
    MIN_REMAINING_MS,
    step.estimateMs - elapsedMs,
    step.estimateMs * MIN_REMAINING_SHARE,
  );
}
