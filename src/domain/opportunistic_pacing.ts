/**
 * Keeps the tail latency of services below their goal by slowing down the
 * opportunistic tasks on the same worker. The latency ratio is a service's tail
 * latency divided by its goal. Images that are proven to raise it are slowed
 * down sooner; at and above the threshold, all tasks are.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedTaskRef } from "./domain_worker.ts";
import { findVerdict, imageOf } from "./interference/mod.ts";
import { taskNameOf } from "./step_run.ts";

/** Latency ratio from which the speed of opportunistic tasks is halved. */
const THROTTLE_LATENCY_RATIO = 0.75;
/** Latency ratio from which images that are proven to raise it are slowed. */
const HARMFUL_LATENCY_RATIO = 0.65;
/** Speed to which they are slowed down then, in percent. */
const HARMFUL_SPEED_PERCENT = 50;
/** Latency ratio from which opportunistic tasks are suspended. */
const SUSPEND_LATENCY_RATIO = 0.95;
/** Latency ratio below which opportunistic tasks speed up again. */
const RECOVERY_LATENCY_RATIO = 0.5;
/** Speed increase per adjustment during recovery, in percentage points. */
const RECOVERY_STEP_PERCENT = 10;
const FULL_SPEED_PERCENT = 100;
/**
 * A task whose speed an earlier owner may have changed runs at full speed if it
 * uses this share of the processors that it asks for.
 */
const FULL_SPEED_USAGE = 0.75;
/** Speed that any other one is taken to run at, in percent. */
const ASSUMED_SPEED_PERCENT = 50;
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
    if (usesFullSpeed(ref)) ref.isPaceKnown = true;
    const { pacedToPercent, isPaceKnown } = ref;
    const percent = isPaceKnown
      ? nextPacePercent(pacedToPercent, latencyRatio)
      : firstPacePercent(ref, latencyRatio);
    if (percent !== pacedToPercent) {
      sendPaceOrder(domain, worker, ref, percent);
      continue;
    }
    if (!isPaceKnown || pacedToPercent <= HARMFUL_SPEED_PERCENT) continue;
    if (latencyRatio < HARMFUL_LATENCY_RATIO) continue;
    if (!harmsSlowService(domain, worker, ref)) continue;
    if (!sendPaceOrder(domain, worker, ref, HARMFUL_SPEED_PERCENT)) continue;
    domain.commands.push({
      kind: "count",
      name: "harmful_pair_pace_orders",
      labels: {},
    });
  }
}

/**
 * Whether an opportunistic task is of an image that is proven to raise the
 * latency of a service on the worker which is close to its goal.
 */
function harmsSlowService(
  { interference }: Domain,
  worker: DomainWorker,
  { run }: PlacedTaskRef,
): boolean {
  const source = imageOf(run);
  for (const victim of worker.placed.values()) {
    if (latencyRatioOf(victim) < HARMFUL_LATENCY_RATIO) continue;
    const verdict = findVerdict(interference, imageOf(victim.run), source);
    if (verdict.kind === "harmful") return true;
  }
  return false;
}

/** Returns the highest latency ratio among the worker's services. */
function highestLatencyRatio(worker: DomainWorker): number {
  let latencyRatio = 0;
  for (const ref of worker.placed.values()) {
    latencyRatio = Math.max(latencyRatio, latencyRatioOf(ref));
  }
  return latencyRatio;
}

/** Latency ratio of a task; 0 if it has no goal. */
function latencyRatioOf({ run, reading }: PlacedTaskRef): number {
  const { latencyGoalMs } = run.step;
  if (latencyGoalMs === undefined || latencyGoalMs <= 0) return 0;
  return reading / latencyGoalMs;
}

/** Whether a task certainly runs at full speed by what it uses. */
function usesFullSpeed({ run, reading }: PlacedTaskRef): boolean {
  const { demand: { cpuMillis }, latencyGoalMs } = run.step;
  if (latencyGoalMs !== undefined) return false;
  return cpuMillis > 0 && reading >= FULL_SPEED_USAGE * cpuMillis;
}

/**
 * Returns the first speed that an owner orders for a task that an earlier one
 * may have slowed down or suspended. Without an order it would stay so.
 */
function firstPacePercent(
  { pacedToPercent }: PlacedTaskRef,
  latencyRatio: number,
): number {
  const percent = nextPacePercent(ASSUMED_SPEED_PERCENT, latencyRatio);
  return percent === ASSUMED_SPEED_PERCENT ? pacedToPercent : percent;
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

/** Orders a speed, in percent; returns whether the task runs. */
function sendPaceOrder(
  domain: Domain,
  worker: DomainWorker,
  ref: PlacedTaskRef,
  percent: number,
): boolean {
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed" || task.phase.kind !== "running") {
    return false;
  }
  ref.pacedToPercent = percent;
  ref.isPaceKnown = true;
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
  return true;
}
