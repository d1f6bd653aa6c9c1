/**
 * What goes wrong in a run: workers that fail everything, cancellations.
 *
 * @module
 */
import { type LoadRun, tell } from "./load_run.ts";

/** The part of the workers that fail everything they start. */
const BROKEN_PART = 0.02;
/** The part of the live requests that a wave cancels. */
const CANCELLED_PART = 0.3;

/** Makes some workers fail every task that they start. */
export function breakWorkers(run: LoadRun): void {
  const workers = [...run.workers.values()];
  const count = Math.ceil(BROKEN_PART * workers.length);
  for (let i = 0; i < count; i++) {
    const at = run.randomness.integer(0, workers.length - 1);
    workers[at]!.broken = true;
  }
}

/** Makes every worker run tasks again. */
export function mendWorkers(run: LoadRun): void {
  for (const worker of run.workers.values()) worker.broken = false;
}

/** Cancels a part of all requests that have not ended, in one batch. */
export function cancelWave(run: LoadRun, atMs: number): void {
  const taskIds: string[] = [];
  let cancelled = "";
  let kept = "";
  for (const { task } of run.live.values()) {
    if (task.policy.kind === "service" || task.requestId === kept) continue;
    if (task.requestId !== cancelled) {
      const spared = run.randomness.integer(0, 999) >= CANCELLED_PART * 1000;
      if (spared) {
        kept = task.requestId;
        continue;
      }
      cancelled = task.requestId;
    }
    taskIds.push(task.id);
  }
  for (const taskId of taskIds) run.live.delete(taskId);
  run.tally.cancelled += taskIds.length;
  tell(run, { kind: "withdrawn", taskIds }, atMs);
}
