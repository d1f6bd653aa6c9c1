/**
 * Keeps the tail latency of services below their goal by slowing down the
 * opportunistic tasks on the same worker. The latency ratio is a service's tail
 * latency divided by its goal.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedTaskRef } from "./domain_worker.ts";
import { taskNameOf } from "./step_run.ts";

/** Latency ratio from which the speed of opportunistic tasks is halved. */
const THROTTLE_LATENCY_RATIO = 0.75;
/** Latency ratio from which opportunistic tasks are suspended. */
const SUSPEND_LATENCY_RATIO = 0.95;
/** Latency ratio below which opportunistic tasks speed up again. */
const RECOVERY_LATENCY_RATIO = 0.5;
/** Speed increase per adjustment during recovery, in percentage points. */
const RECOVERY_STEP_PERCENT = 10;
const FULL_SPEED_PERCENT = 100;
/** A task that would be slower than this is suspended, in percent. */
const MIN_SPEED_PERCENT = 10;

/**
 * Adjusts the speed of the opportunistic tasks on a worker to the latencies
 * that its services reported last.
 */
export function adjustPace(domain: Domain, worker: DomainWorker): void {
  if (worker.opportunisticCpuMillis === 0) return;
  const latencyRatio = highestLatencyRatio(worker);
  for (const ref of worker.placed.values()) {
    if (!ref.run.step.opportunistic) continue;
    const percent = nextPacePercent(ref.pacedToPercent, latencyRatio);
    if (percent !== ref.pacedToPercent) {
      sendPaceOrder(domain, worker, ref, percent);
    }
  }
}

/** Returns the highest latency ratio among the worker's services. */
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
  if (latencyRatio >= SUSPEND_LATENCY_RATIO) return 0;
  if (latencyRatio >= THROTTLE_LATENCY_RATIO) {
    const halved = Math.floor(current / 2);
    return halved < MIN_SPEED_PERCENT ? 0 : halved;
  }
  if (latencyRatio >= RECOVERY_LATENCY_RATIO) return current;
  return Math.min(FULL_SPEED_PERCENT, current + RECOVERY_STEP_PERCENT);
}

function sendPaceOrder(
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
