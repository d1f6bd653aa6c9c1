/**
 * Detection of running tasks that make no progress although their worker
 * responds. They are stopped, and restarted from their checkpoint.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedTaskRef } from "./domain_worker.ts";
import type { Moment } from "./domain_event.ts";
import { stopTask } from "./stop_task.ts";
import { type StepRun, taskNameOf } from "./step_run.ts";
import { recordFailure } from "./worker_health.ts";

/**
 * Time without progress after which a task counts as stalled, in milliseconds.
 * A healthy task advances by a percent well within this time.
 */
const STALL_TIMEOUT_MS = 3_000;
/**
 * Stall timeout for gangs, whose tasks wait for each other, and for services,
 * which need time to start up, in milliseconds.
 */
const GANG_OR_SERVICE_STALL_TIMEOUT_MS = 7_000;
const COMPLETE_PERCENT = 100;

/**
 * Stops the stalled tasks of a worker, and counts each as a failure of the
 * worker. The members of a gang stall together, wherever the cause is, so they
 * count as one.
 */
export function stopStalledTasks(
  domain: Domain,
  worker: DomainWorker,
  moment: Moment,
): void {
  const stalledGangs = new Set<StepRun>();
  for (const ref of worker.placed.values()) {
    const stalledMs = exceededStallMs(ref, moment.steadyMs);
    if (stalledMs === undefined) continue;
    if (!stalledGangs.has(ref.run)) recordFailure(worker, moment.steadyMs);
    if (ref.run.step.gang) stalledGangs.add(ref.run);
    domain.commands.push({
      kind: "report",
      message: "Stopping a task that makes no progress.",
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

/**
 * Returns how long a task has made no progress if that exceeds its stall
 * timeout, and undefined otherwise.
 */
function exceededStallMs(
  ref: PlacedTaskRef,
  nowMs: number,
): number | undefined {
  const { step } = ref.run;
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed" || task.phase.kind !== "running") {
    return undefined;
  }
  // An opportunistic task may get no processor time for long periods.
  if (step.opportunistic || task.phase.percent === COMPLETE_PERCENT) {
    return undefined;
  }
  const limitMs = step.gang || step.longRunning
    ? GANG_OR_SERVICE_STALL_TIMEOUT_MS
    : STALL_TIMEOUT_MS;
  const stalledMs = nowMs - task.phase.progressAtMs;
  return stalledMs > limitMs ? stalledMs : undefined;
}
