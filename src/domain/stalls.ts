/**
 * Tasks that stand still on a worker that answers: they are stopped, and go
 * on elsewhere from their checkpoint.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedTaskRef } from "./domain_worker.ts";
import type { Moment } from "./domain_event.ts";
import { stopTask } from "./stop_task.ts";
import { taskNameOf } from "./step_run.ts";
import { noteFailure } from "./worker_health.ts";

/** A running task moves on by a percent well within this time, in ms. */
const STALL_MS = 3_000;
/** Members of a gang wait for each other, and services start up, in ms. */
const PATIENT_STALL_MS = 7_000;
const FULL_PERCENT = 100;

/** Stops the tasks of a worker that have not moved on for long. */
export function stopStalledTasks(
  domain: Domain,
  worker: DomainWorker,
  moment: Moment,
): void {
  for (const ref of worker.placed.values()) {
    const stalledMs = stalledForMs(ref, moment.steadyMs);
    if (stalledMs === undefined) continue;
    noteFailure(worker, moment.steadyMs);
    domain.commands.push({
      kind: "report",
      message: "A task stands still.",
      fields: {
        job: ref.run.jobRun.job.id,
        task: taskNameOf(ref.run, ref.index),
        worker: worker.id,
        stalledMs: Math.round(stalledMs),
      },
    });
    stopTask(domain, ref.run, ref.index);
  }
}

/** How long a task has stood still, if that is too long. */
function stalledForMs(ref: PlacedTaskRef, nowMs: number): number | undefined {
  const { step } = ref.run;
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed" || task.phase.kind !== "running") {
    return undefined;
  }
  // An opportunistic task may have nothing to work with.
  if (step.opportunistic || task.phase.percent === FULL_PERCENT) {
    return undefined;
  }
  const limitMs = step.gang || step.longRunning ? PATIENT_STALL_MS : STALL_MS;
  const stalledMs = nowMs - task.phase.progressAtMs;
  return stalledMs > limitMs ? stalledMs : undefined;
}
