/**
 * Crashes of workers, and the tasks that may have caused them: a task may crash
 * each worker that starts it.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedTaskRef, TaskRef } from "./domain_worker.ts";
import { taskNameOf } from "./step_run.ts";

/** A task that has run for this long has not crashed its worker, in ms. */
const SETTLE_MS = 1_000;

/**
 * Updates whether a worker has survived the start of a task.
 *
 * @param aliveAtMs a time at which the worker ran the task (steady clock)
 */
export function updateSettled(ref: PlacedTaskRef, aliveAtMs: number): void {
  if (ref.runningSinceMs === undefined) return;
  if (aliveAtMs - ref.runningSinceMs >= SETTLE_MS) ref.isSettled = true;
}

/** Finds the tasks placed on a worker whose start it may not have survived. */
export function findUnsettledTasks(worker: DomainWorker): TaskRef[] {
  return [...worker.placed.values()].filter(({ run, index, isSettled }) => {
    const task = run.tasks[index];
    return !isSettled && task?.kind === "placed" && task.worker === worker.id;
  });
}

/** Records that a worker crashed just after tasks were started on it. */
export function recordWorkerCrash(
  domain: Domain,
  worker: DomainWorker,
  unsettled: TaskRef[],
): void {
  domain.commands.push({
    kind: "report",
    message: "A worker crashed.",
    fields: {
      worker: worker.id,
      unsettled: unsettled.map(({ run, index }) => taskNameOf(run, index))
        .join(" "),
    },
  });
}
