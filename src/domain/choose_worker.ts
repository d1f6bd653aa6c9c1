import { fitsInto, fitsRemaining, type Resources } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { Step } from "./job.ts";
import { reservationOf } from "./placed.ts";
import type { StepRun } from "./step_run.ts";
import { runLimit } from "./worker_health.ts";

/** Score lost by a worker that is far from the data of a step. */
const FAR_FROM_DATA_PENALTY = 2;
/** Score lost by a filler that shares a worker with a service. */
const BESIDE_SERVICE_PENALTY = 1;
/** Score lost by a worker on which one whole task depends alone. */
const PRESSURE_PENALTY = 0.5;
/** Score lost by a worker that takes twice as long as the mean. */
const SLOWNESS_PENALTY = 0.8;
/** Score lost for each failure in a row. */
const FAILURE_PENALTY = 0.25;

/** The workers that may run a step at all, whatever room they have. */
export function eligibleWorkers(
  domain: Domain,
  run: StepRun,
): DomainWorker[] {
  return [...domain.workers.values()].filter((worker) =>
    isEligible(worker, run)
  );
}

/** Whether a worker may run a step at all, whatever room it has. */
export function isEligible({ listing }: DomainWorker, run: StepRun): boolean {
  if (listing === undefined || listing.draining) return false;
  if (listing.service !== run.job.job.policy.service) return false;
  const { requiredLabel, demand } = run.step;
  const hasLabel = requiredLabel === undefined ||
    listing.labels.includes(requiredLabel);
  return hasLabel && fitsInto(demand, listing.capacity);
}

/** Whether a worker can take one more task of a step now. */
export function hasRoom(
  worker: DomainWorker,
  run: StepRun,
  nowMs: number,
): boolean {
  if (!hasFreeRoom(worker, reservationOf(run.step), nowMs)) return false;
  const { maxPerWorker } = run.step;
  if (maxPerWorker === undefined) return true;
  return tasksOfStep(worker, run) < maxPerWorker;
}

/** Whether a worker that is held has room for an amount now. */
export function hasFreeRoom(
  worker: DomainWorker,
  demand: Resources,
  nowMs: number,
): boolean {
  return worker.held && fitsRemaining(demand, worker.used, worker.capacity) &&
    worker.placed.size < runLimit(worker, nowMs);
}

/** How many tasks of a step are placed on a worker. */
function tasksOfStep(worker: DomainWorker, run: StepRun): number {
  let count = 0;
  for (const ref of worker.placed.values()) {
    if (ref.run === run) count += 1;
  }
  return count;
}

/**
 * Scores a worker for a step; the highest score is chosen. Accelerator tasks
 * are packed, so that whole workers stay free for gangs; everything else is
 * spread, since tasks on one worker slow each other down.
 */
export function scoreWorker(worker: DomainWorker, run: StepRun): number {
  const { step } = run;
  let score = spreadScore(worker, step);
  const { dataRack } = step;
  if (dataRack !== undefined && worker.listing?.rack !== dataRack) {
    score -= FAR_FROM_DATA_PENALTY;
  }
  if (step.opportunistic && hasService(worker)) score -= BESIDE_SERVICE_PENALTY;
  if (step.latencyGoalMs !== undefined && worker.opportunisticCpu > 0) {
    score -= BESIDE_SERVICE_PENALTY;
  }
  const { consecutiveFailures, slowness } = worker.health;
  return score - FAILURE_PENALTY * consecutiveFailures -
    SLOWNESS_PENALTY * (slowness - 1) -
    PRESSURE_PENALTY * Math.min(1, worker.pressure);
}

function spreadScore(worker: DomainWorker, step: Step): number {
  const { capacity, used, opportunisticCpu } = worker;
  const cpuLoad = (used.cpuMillis + opportunisticCpu) /
    Math.max(1, capacity.cpuMillis);
  if (step.demand.accelerators === 0) return -cpuLoad;
  const freeAccelerators = capacity.accelerators - used.accelerators;
  return -freeAccelerators / Math.max(1, capacity.accelerators) -
    cpuLoad / 100;
}

/** Whether a worker runs a task whose users wait for answers. */
function hasService(worker: DomainWorker): boolean {
  for (const ref of worker.placed.values()) {
    if (ref.run.step.latencyGoalMs !== undefined) return true;
  }
  return false;
}
