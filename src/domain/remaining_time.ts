import type { PlacedTaskRef } from "./domain_worker.ts";

/** Progress from which a task's own pace says more than its estimate. */
const TELLING_PERCENT = 8;
const FULL_PERCENT = 100;
/** Part of its estimate that an overdue task is expected to take still. */
const LEAST_REMAINING_SHARE = 0.2;
/** A task that its progress says is done still has to be listed, in ms. */
const LEAST_REMAINING_MS = 40;

/**
 * How long a placed task is expected to hold its room still, in milliseconds.
 * Estimates are often far off, so the progress that the worker lists decides
 * once there is some.
 */
export function remainingMs(ref: PlacedTaskRef, nowMs: number): number {
  const { step } = ref.run;
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed") return LEAST_REMAINING_MS;
  if (step.longRunning) return Infinity;
  const elapsedMs = nowMs - task.placedAtMs;
  const { phase } = task;
  if (phase.kind === "running" && phase.percent >= TELLING_PERCENT) {
    const ranMs = phase.progressAtMs - task.placedAtMs;
    const totalMs = ranMs * FULL_PERCENT / phase.percent;
    return Math.max(LEAST_REMAINING_MS, totalMs - elapsedMs);
  }
  return Math.max(
    step.estimateMs - elapsedMs,
    step.estimateMs * LEAST_REMAINING_SHARE,
  );
}
