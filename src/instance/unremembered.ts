/**
 * What follows when a worker does not remember a task that was sent to it.
 *
 * @module
 */
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import type { Scheduler } from "./scheduler.ts";
import { requeueUnstarted, resolveLostRun } from "./task_queue.ts";

/** How long a worker surely remembers the record of an ended task. */
export const RECORD_RETENTION_MS = 3_600_000;
/** Taken off the retention, for clocks and for what is on its way. */
const RETENTION_MARGIN_MS = 300_000;
/** How long the absence of a record proves that nothing ran. */
export const ABSENCE_PROOF_MS = RECORD_RETENTION_MS - RETENTION_MARGIN_MS;

/** A lease under which a worker was asked. */
export type AskedLease = { token: number; boot: string };

/**
 * Decides about a task that is away at a worker which has no record of it.
 * Under a later token the task can no longer start there, so it surely never
 * did, unless the worker has started anew or may have forgotten it.
 */
export function resolveUnremembered(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  asked: AskedLease,
): void {
  const { progress } = task;
  if (progress.kind !== "away") return;
  if (progress.boot !== asked.boot) {
    resolveLostRun(scheduler, entry, task, progress.worker);
    return;
  }
  if (progress.token >= asked.token) return;
  const ageMs = scheduler.moment.steadyMs - progress.sinceMs;
  if (progress.seen || ageMs > ABSENCE_PROOF_MS) {
    resolveLostRun(scheduler, entry, task, progress.worker);
    return;
  }
  requeueUnstarted(scheduler, entry, task);
}
