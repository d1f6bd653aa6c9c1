import { fitsInto, fitsRemaining, type Resources } from "../model/mod.ts";
import { crashProbability } from "./crash_rates.ts";
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { interferencePenalty } from "./interference/mod.ts";
import type { Step } from "./job.ts";
import { allocationOf } from "./task_placement.ts";
import { hasRecordRoom } from "./step_limits.ts";
import type { StepRun } from "./step_run.ts";
import { findUnsettledTasks } from "./worker_crash.ts";
import { maxRunningTasks } from "./worker_health.ts";
import { currentListing } from "./worker_incarnation.ts";
import type { WorkerListing } from "./worker_listing.ts";

/** Score penalty for a worker outside the rack of the step's data. */
const REMOTE_DATA_PENALTY = 2;
/**
 * Score penalty for a worker with a demand pressure of 1 or more: waiting steps
 * are expected to need all of it.
 */
const DEMAND_PRESSURE_PENALTY = 0.5;
/** Score penalty for a worker that takes twice the mean task duration. */
const SLOWDOWN_PENALTY = 0.8;
/** Score penalty for a worker that a suspect may crash. */
const SUSPECT_PENALTY = 3;
/**
 * Score penalty of a suspect for each other suspect on the worker, and for each
 * other task that has just started there. A crash can then be attributed.
 */
const SHARED_SUSPICION_PENALTIES = { suspect: 10, started: 1 };
/** Score penalty of a suspect for a worker that certainly crashes by itself. */
const UNSTABLE_WORKER_PENALTY = 10;
/** The time for which a suspect needs its worker, in milliseconds. */
const SUSPECT_START_MS = 1_000;
/** Score penalty for each consecutive failure. */
const FAILURE_PENALTY = 0.25;
/** Score penalty for a worker that has not answered a start of the step. */
const UNANSWERED_PENALTY = 10;
/** Score penalty of a step that has failed for a worker that fails others. */
const RETRY_FAILURE_PENALTY = 3;
/** Score penalty for a worker on which a task of the step has failed. */
const FAILED_STEP_PENALTY = 10;

/** Finds the workers that may run a step, regardless of free capacity. */
export function findEligibleWorkers(
  domain: Domain,
  run: StepRun,
): DomainWorker[] {
  return [...domain.workers.values()].filter((worker) =>
    isEligible(worker, run)
  );
}

/** Whether a worker may run a step, regardless of its free capacity. */
export function isEligible(worker: DomainWorker, run: StepRun): boolean {
  const listing = currentListing(worker);
  return listing !== undefined && isEligibleListing(listing, run);
}

/** Whether the worker of an entry may run a step, regardless of what it runs. */
export function isEligibleListing(
  listing: WorkerListing,
  run: StepRun,
): boolean {
  return !listing.draining && isSuitableListing(listing, run) &&
    fitsInto(run.step.demand, listing.capacity);
}

/**
 * Whether the worker of an entry is of the service and has the label that a step
 * requires.
 */
export function isSuitableListing(
  { service, labels }: WorkerListing,
  { step: { requiredLabel }, jobRun }: StepRun,
): boolean {
  if (service !== jobRun.job.policy.service) return false;
  return requiredLabel === undefined || labels.includes(requiredLabel);
}

/**
 * Whether a worker has free capacity for one more task of a step, and fewer of
 * its tasks than the step's limit per worker, and the step's record has room.
 */
export function hasCapacityForTask(
  worker: DomainWorker,
  run: StepRun,
  nowMs: number,
): boolean {
  if (!hasFreeCapacity(worker, allocationOf(run.step), nowMs)) return false;
  if (!hasRecordRoom(run, worker, 1)) return false;
  const { maxPerWorker } = run.step;
  if (maxPerWorker === undefined) return true;
  return countTasksOfStep(worker, run) < maxPerWorker;
}

/**
 * Whether a worker is reachable and has free capacity for a demand, within the
 * number of tasks that its health permits.
 */
export function hasFreeCapacity(
  worker: DomainWorker,
  demand: Resources,
  nowMs: number,
): boolean {
  return worker.isReachable &&
    fitsRemaining(demand, worker.used, worker.capacity) &&
    worker.placed.size < maxRunningTasks(worker, nowMs);
}

function countTasksOfStep(worker: DomainWorker, run: StepRun): number {
  let count = 0;
  for (const ref of worker.placed.values()) {
    if (ref.run === run) count += 1;
  }
  return count;
}

/**
 * Scores a worker for a step; the worker with the highest score is chosen.
 * Accelerator tasks are packed to keep whole workers free for gangs. Other
 * tasks are spread, because tasks on one worker slow each other down.
 */
export function scoreWorker(
  domain: Domain,
  worker: DomainWorker,
  run: StepRun,
): number {
  const { step } = run;
  let score = utilizationScore(worker, step);
  const { dataRack } = step;
  if (dataRack !== undefined && worker.listing?.rack !== dataRack) {
    score -= REMOTE_DATA_PENALTY;
  }
  score -= interferencePenalty(domain, worker, run);
  const { consecutiveFailures, slowdown } = worker.health;
  if (worker.suspects.size > 0) score -= SUSPECT_PENALTY;
  if (run.unansweredAtMs.has(worker.id)) score -= UNANSWERED_PENALTY;
  if (run.failedOn.size > 0) score -= retryPenalty(worker, run);
  return score - FAILURE_PENALTY * consecutiveFailures -
    SLOWDOWN_PENALTY * (slowdown - 1) -
    DEMAND_PRESSURE_PENALTY * Math.min(1, worker.demandPressure);
}

/**
 * Returns how much a step that has failed avoids a worker. It may fail only a
 * few times, so it does not try out workers that have failed lately.
 */
export function retryPenalty(worker: DomainWorker, run: StepRun): number {
  if (run.failedOn.has(worker.id)) return FAILED_STEP_PENALTY;
  return worker.health.consecutiveFailures > 0 ? RETRY_FAILURE_PENALTY : 0;
}

/**
 * Scores a worker for a task that may crash it. A worker that crashes by itself
 * would speak against the task without a reason.
 */
export function scoreWorkerForSuspect(
  domain: Domain,
  worker: DomainWorker,
  run: StepRun,
): number {
  const { suspect, started } = SHARED_SUSPICION_PENALTIES;
  const probability = crashProbability(domain, worker.id, SUSPECT_START_MS);
  return scoreWorker(domain, worker, run) - suspect * worker.suspects.size -
    started * findUnsettledTasks(worker).length -
    UNSTABLE_WORKER_PENALTY * probability;
}

/** Prefers full workers for accelerator tasks, idle ones for the rest. */
function utilizationScore(worker: DomainWorker, step: Step): number {
  const { capacity, used, opportunisticCpuMillis } = worker;
  const cpuLoad = (used.cpuMillis + opportunisticCpuMillis) /
    Math.max(1, capacity.cpuMillis);
  if (step.demand.accelerators === 0) return -cpuLoad;
  const freeAccelerators = capacity.accelerators - used.accelerators;
  return -freeAccelerators / Math.max(1, capacity.accelerators) -
    cpuLoad / 100;
}
