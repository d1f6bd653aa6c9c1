/**
 * Keeps the tail latency of services under their goal by slowing down the
 * opportunistic tasks beside them.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedRef } from "./domain_worker.ts";
import { taskNameOf } from "./step_run.ts";

/** Share of the goal above which opportunistic tasks are halved. */
const SLOWDOWN_LATENCY_RATIO = 0.75;
/** Share of the goal at which opportunistic tasks are stopped entirely. */
const STOP_LATENCY_RATIO = 0.95;
/** Share of the goal below which opportunistic tasks speed up again. */
const RECOVERY_LATENCY_RATIO = 0.5;
/** How much faster they become with each reading, in percent. */
const RECOVERY_STEP_PERCENT = 10;
const FULL_SPEED_PERCENT = 100;
/** Below this share a task is stopped rather than slowed, in percent. */
const MIN_SPEED_PERCENT = 10;

/** Adjusts the pace of the opportunistic tasks on a worker to a new look. */
export function adjustPace(domain: Domain, worker: DomainWorker): void {
  if (worker.opportunisticCpu === 0) return;
  const latencyRatio = highestLatencyRatio(worker);
  for (const ref of worker.placed.values()) {
    if (!ref.run.step.opportunistic) continue;
    const percent = nextPacePercent(ref.pacedTo, latencyRatio);
    if (percent !== ref.pacedTo) sendPaceOrder(domain, worker, ref, percent);
  }
}

/** The highest ratio of tail latency to goal among the worker's services. */
function highestLatencyRatio(worker: DomainWorker): number {
  let latencyRatio = 0;
  for (const ref of worker.placed.values()) {
    const { latencyGoalMs } = ref.run.step;
    if (latencyGoalMs === undefined || latencyGoalMs <= 0) continue;
    latencyRatio = Math.max(latencyRatio, ref.reading / latencyGoalMs);
  }
  return latencyRatio;
}

function nextPacePercent(current: number, latencyRatio: number): number {
  if (latencyRatio >= STOP_LATENCY_RATIO) return 0;
  if (latencyRatio >= SLOWDOWN_LATENCY_RATIO) {
    const halved = Math.floor(current / 2);
    return halved < MIN_SPEED_PERCENT ? 0 : halved;
  }
  if (latencyRatio >= RECOVERY_LATENCY_RATIO) return current;
  return Math.min(FULL_SPEED_PERCENT, current + RECOVERY_STEP_PERCENT);
}

function sendPaceOrder(
  domain: Domain,
  worker: DomainWorker,
  ref: PlacedRef,
  percent: number,
): void {
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed" || task.phase.kind !== "running") return;
  ref.pacedTo = percent;
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
