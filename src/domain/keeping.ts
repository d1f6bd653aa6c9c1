/**
 * Workers that are kept for a step which needs much of one: without that, a
 * stream of small tasks would take each bit of room as it comes up.
 *
 * @module
 */
import type { Resources } from "../model/mod.ts";
import { eligibleWorkers, hasRoom } from "./choose_worker.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { reservationOf } from "./placed.ts";
import type { Pass } from "./schedule.ts";
import type { StepRun } from "./step_run.ts";

/** A task that takes this share of a worker needs workers to be kept. */
const LARGE_SHARE = 0.4;
/** The largest part of a service's workers that is kept. */
const MAX_KEPT_SHARE = 0.5;
/** Part of its estimate that an overdue task is expected to take still. */
const LEAST_REMAINING_SHARE = 0.2;
/** Part of the time until a worker is free that other tasks may use. */
const BACKFILL_SHARE = 0.7;

/** Keeps a worker from steps of lower rank in this pass. */
export function keep(pass: Pass, worker: DomainWorker): void {
  const nowMs = pass.moment.steadyMs;
  let freeAtMs = nowMs;
  for (const remainingMs of remainingTimes(worker, nowMs)) {
    freeAtMs = Math.max(freeAtMs, nowMs + remainingMs.leftMs);
  }
  pass.kept.set(worker, freeAtMs);
}

/**
 * Whether a step may use a worker: it is not kept for another one, or the
 * step's tasks are expected to end before it is free for that one anyway.
 */
export function mayUse(
  pass: Pass,
  worker: DomainWorker,
  run: StepRun,
): boolean {
  const freeAtMs = pass.kept.get(worker);
  if (freeAtMs === undefined) return true;
  if (run.step.longRunning || run.step.estimateMs <= 0) return false;
  const leftMs = freeAtMs - pass.moment.steadyMs;
  return run.step.estimateMs <= leftMs * BACKFILL_SHARE;
}

/** Whether a task of the step takes so much that room has to be kept. */
export function isLarge(pass: Pass, run: StepRun): boolean {
  for (const worker of eligibleWorkers(pass.domain, run)) {
    const share = dominantShare(reservationOf(run.step), worker.capacity);
    if (share < LARGE_SHARE) return false;
  }
  return true;
}

/**
 * Keeps workers for the waiting tasks of a large step: those with room, whose
 * ticket is on its way, then those with the least work left. Only workers
 * that the policy is known to allow are kept.
 */
export function keepForLarge(pass: Pass, run: StepRun): void {
  const { moment } = pass;
  const needsAdvice = run.job.job.policy.advice !== undefined;
  const workers = [...eligibleWorkers(pass.domain, run)];
  const limit = Math.floor(workers.length * MAX_KEPT_SHARE);
  const usable = workers.filter((worker) =>
    worker.held && !pass.kept.has(worker) &&
    (!needsAdvice || run.advice.allowed.has(worker.id))
  );
  const ordered = leastBusyFirst(pass, usable);
  const isRoomy = (worker: DomainWorker) =>
    hasRoom(worker, run, moment.steadyMs);
  const best = [
    ...ordered.filter(isRoomy),
    ...ordered.filter((worker) => !isRoomy(worker)),
  ];
  for (const worker of best.slice(0, run.waiting)) {
    if (pass.kept.size >= limit) return;
    keep(pass, worker);
  }
}

/** Workers in the order of the work that is left on them. */
export function leastBusyFirst(
  pass: Pass,
  workers: DomainWorker[],
): DomainWorker[] {
  return workers
    .map((worker) => ({
      worker,
      left: workLeft(worker, pass.moment.steadyMs),
    }))
    .sort((one, other) => one.left - other.left)
    .map(({ worker }) => worker);
}

/** The work left on a worker, in milliseconds of its whole capacity. */
function workLeft(worker: DomainWorker, nowMs: number): number {
  let left = 0;
  for (const { leftMs, reserved } of remainingTimes(worker, nowMs)) {
    left += leftMs * dominantShare(reserved, worker.capacity);
  }
  return left;
}

/** For each task on a worker, the time that it is expected to take still. */
function* remainingTimes(
  worker: DomainWorker,
  nowMs: number,
): Generator<{ leftMs: number; reserved: Resources }> {
  for (const { run, index, reserved } of worker.placed.values()) {
    const task = run.tasks[index];
    if (task?.kind !== "placed") continue;
    const { estimateMs } = run.step;
    const leftMs = Math.max(
      estimateMs - (nowMs - task.placedAtMs),
      LEAST_REMAINING_SHARE * estimateMs,
    );
    yield { leftMs, reserved };
  }
}

/** The largest share that an amount takes of any resource. */
export function dominantShare(amount: Resources, whole: Resources): number {
  return Math.max(
    amount.cpuMillis / Math.max(1, whole.cpuMillis),
    amount.memoryMb / Math.max(1, whole.memoryMb),
    amount.accelerators / Math.max(1, whole.accelerators),
  );
}
