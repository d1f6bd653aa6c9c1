import type { PlacedRef } from "./domain_worker.ts";

/** Progress from which a task's own pace says more than its estimate. */
const MIN_RELIABLE_PROGRESS_PERCENT = 8;
const COMPLETE_PERCENT = 100;
/** Part of its estimate that an overdue task is expected to take still. */
const MIN_REMAINING_SHARE = 0.2;
/** A task that its progress says is done still has to be listed, in ms. */
const MIN_REMAINING_MS = 40;

/**
 * How long a placed task is expected to hold its room still, in milliseconds.
 * Estimates are often far off, so the progress that the worker lists decides
 * once there is some.
 */
export function estimateRemainingMs(ref: PlacedRef, nowMs: number): number {
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
    step.estimateMs - elapsedMs,
    step.estimateMs * MIN_REMAINING_SHARE,
  );
}
