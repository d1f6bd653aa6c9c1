/**
 * Keeps the tail latency of services under their goal by slowing down the
 * opportunistic tasks beside them.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedTaskRef } from "./domain_worker.ts";
import { taskNameOf } from "./step_run.ts";

/** Share of the goal above which opportunistic tasks are halved. */
const HIGH_SHARE = 0.75;
/** Share of the goal at which opportunistic tasks are stopped entirely. */
const STOP_SHARE = 0.95;
/** Share of the goal below which opportunistic tasks speed up again. */
const LOW_SHARE = 0.5;
/** How much faster they become with each reading, in percent. */
const RECOVERY_PERCENT = 10;
const FULL_PERCENT = 100;
/** Below this share a task is stopped rather than slowed, in percent. */
const LEAST_PERCENT = 10;

/** Adjusts the pace of the opportunistic tasks on a worker to a new look. */
export function adjustPace(domain: Domain, worker: DomainWorker): void {
  if (worker.opportunisticCpuMillis === 0) return;
  const pressure = highestPressure(worker);
  for (const ref of worker.placed.values()) {
    if (!ref.run.step.opportunistic) continue;
    const percent = nextPace(ref.pacedToPercent, pressure);
    if (percent !== ref.pacedToPercent) orderPace(domain, worker, ref, percent);
  }
}

/** The highest ratio of tail latency to goal among the worker's services. */
function highestPressure(worker: DomainWorker): number {
  let pressure = 0;
  for (const ref of worker.placed.values()) {
    const { latencyGoalMs } = ref.run.step;
    if (latencyGoalMs === undefined || latencyGoalMs <= 0) continue;
    pressure = Math.max(pressure, ref.reading / latencyGoalMs);
  }
  return pressure;
}

function nextPace(current: number, pressure: number): number {
  if (pressure >= STOP_SHARE) return 0;
  if (pressure >= HIGH_SHARE) {
    const halved = Math.floor(current / 2);
    return halved < LEAST_PERCENT ? 0 : halved;
  }
  if (pressure >= LOW_SHARE) return current;
  return Math.min(FULL_PERCENT, current + RECOVERY_PERCENT);
}

function orderPace(
  domain: Domain,
  worker: DomainWorker,
  ref: PlacedTaskRef,
  percent: number,
): void {
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed" || task.phase.kind !== "running") return;
  ref.pacedToPercent = percent;
  domain.commands.push({
    kind: "order",
    order: {
      kind: "pace",
      worker: worker.id,
      task: taskNameOf(ref.run, ref.index),
      attempt: task.attempt,
      percent,
    },
  });
}
