/**
 * Requests to the external placement policy, called advice requests: which step
 * sends one, when, and which workers it names. The policy answers with a ticket
 * for each worker on which the step may run.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { DomainEvent, Moment } from "./domain_event.ts";
import {
  findEligibleWorkers,
  hasCapacityForTask,
  scoreWorker,
} from "./choose_worker.ts";
import type { SchedulingPass } from "./scheduling_pass.ts";
import type { TaskSlot } from "./task_slot.ts";
import type { StepRun } from "./step_run.ts";

/** Maximum number of workers that one request may name. */
const MAX_WORKERS_PER_REQUEST = 100;
/**
 * Subtracted from the validity of a ticket to leave time for storing the
 * placement and for the start order to reach the worker, in milliseconds.
 */
const TICKET_MARGIN_MS = 200;
/** Delay before the next request after a failed one, in milliseconds. */
const FAILED_REQUEST_BACKOFF_MS = 150;
/** Delay before the next request if none was allowed, in milliseconds. */
const NONE_ALLOWED_BACKOFF_MS = 250;
/** Weight of the newest answer in the moving average of the allowed share. */
const ALLOWED_SHARE_WEIGHT = 0.2;
/** Share of workers assumed to be allowed before the first answer. */
const INITIAL_ALLOWED_SHARE = 0.3;
/**
 * Requests name more workers than needed on average, because the share that is
 * allowed varies: the expected number times this factor, plus a constant.
 */
const SURPLUS_FACTOR = 1.5;
const SURPLUS_WORKERS = 2;

/**
 * Added to the lead time of a request for network latency and for errors in
 * the estimated release times, in milliseconds.
 */
const REQUEST_LEAD_MARGIN_MS = 150;

/** A request to the placement policy about one step. */
export type AdviceRequest = {
  stepKey: string;
  workers: string[];
  /** Expected processing time at the policy, in milliseconds. */
  costMs: number;
};

/**
 * Whether a start order may be sent to a worker at a time: the step holds a
 * ticket that is still valid then, or its queue needs none.
 */
export function hasValidTicket(
  run: StepRun,
  worker: string,
  nowMs: number,
): boolean {
  if (run.jobRun.job.policy.advice === undefined) return true;
  const ticket = run.advice.allowed.get(worker);
  return ticket !== undefined && ticket.validUntilMs > nowMs;
}

/** Whether a start order of a step may be sent to any worker at a time. */
export function holdsValidTicket(run: StepRun, nowMs: number): boolean {
  if (run.jobRun.job.policy.advice === undefined) return true;
  for (const { validUntilMs } of run.advice.allowed.values()) {
    if (validUntilMs > nowMs) return true;
  }
  return false;
}

/** Whether the policy has not refused a worker for the step. */
export function mayBeAllowed(run: StepRun, worker: string): boolean {
  if (run.jobRun.job.policy.advice === undefined) return true;
  return !run.advice.refused.has(worker);
}

/** Whether a step has no request in flight and its backoff has elapsed. */
export function canRequestAdvice(run: StepRun, nowMs: number): boolean {
  const { advice } = run;
  return run.jobRun.job.policy.advice !== undefined &&
    !advice.requestInFlight &&
    nowMs >= advice.notBeforeMs;
}

/**
 * Whether the policy has decided about any worker for the step, or the queue
 * needs no policy.
 */
export function hasAdvice(run: StepRun): boolean {
  const { allowed, refused } = run.advice;
  return run.jobRun.job.policy.advice === undefined ||
    allowed.size > 0 || refused.size > 0;
}

/**
 * How long before the capacity is expected to be free the tickets have to be
 * requested, in milliseconds.
 */
export function requestLeadTimeMs(run: StepRun, workers: number): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.jobRun.job.policy.advice ?? {};
  return decideMs + perWorkerMs * workers + REQUEST_LEAD_MARGIN_MS;
}

/**
 * Marks a step as waiting to send an advice request that names the workers of
 * the given slots first.
 */
export function queueAdviceRequest(
  pass: SchedulingPass,
  run: StepRun,
  slots: TaskSlot[],
): void {
  if (!canRequestAdvice(run, pass.moment.steadyMs)) return;
  run.advice.preferred = new Set(slots.map(({ worker }) => worker.id));
  pass.domain.adviceQueue.push(run);
}

/**
 * Returns the request of the most urgent waiting step, and marks it as in
 * flight. The request is built only when it can be sent, so that it reflects
 * the current state of the workers.
 *
 * @param maxCostMs the longest processing time that the request may have, in
 *   milliseconds
 *
 * @example
 * ```ts
 * const request = takeAdviceRequest(domain, moment, Infinity);
 * ```
 */
export function takeAdviceRequest(
  domain: Domain,
  moment: Moment,
  maxCostMs: number,
): AdviceRequest | undefined {
  for (const run of domain.adviceQueue) {
    if (run.waitingCount === 0 || !canRequestAdvice(run, moment.steadyMs)) {
      continue;
    }
    if (estimateCostMs(domain, run) > maxCostMs) continue;
    const request = createRequest(domain, run, moment.steadyMs);
    if (request === undefined || request.costMs > maxCostMs) continue;
    run.advice.requestInFlight = true;
    return request;
  }
  return undefined;
}

/**
 * Estimates the cost of a step's request without selecting the workers that it
 * would name, which is more expensive.
 */
function estimateCostMs(domain: Domain, run: StepRun): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.jobRun.job.policy.advice ?? {};
  const { allowed, refused } = run.advice;
  const undecidedCount = domain.workers.size - allowed.size - refused.size;
  const namedCount = Math.min(
    Math.max(0, undecidedCount),
    cheapWorkerCount(run),
  );
  return decideMs + perWorkerMs * namedCount;
}

/**
 * The number of workers whose total processing time does not exceed the fixed
 * time of a decision.
 */
function cheapWorkerCount(run: StepRun): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.jobRun.job.policy.advice ?? {};
  return perWorkerMs === 0
    ? MAX_WORKERS_PER_REQUEST
    : Math.floor(decideMs / perWorkerMs);
}

function createRequest(
  domain: Domain,
  run: StepRun,
  nowMs: number,
): AdviceRequest | undefined {
  const cost = run.jobRun.job.policy.advice;
  if (cost === undefined) return undefined;
  const workers = selectWorkersToName(domain, run, nowMs);
  if (workers.length === 0) return undefined;
  return {
    stepKey: run.key,
    workers: workers.map((worker) => worker.id),
    costMs: cost.decideMs + cost.perWorkerMs * workers.length,
  };
}

/**
 * Selects the workers that a request names: allowed ones, whose tickets are
 * renewed, and as many undecided ones as the step needs. Workers without free
 * capacity are named too, because capacity may be released while the ticket is
 * valid.
 */
function selectWorkersToName(
  domain: Domain,
  run: StepRun,
  nowMs: number,
): DomainWorker[] {
  const { advice } = run;
  const allowed: DomainWorker[] = [];
  const undecided: DomainWorker[] = [];
  for (const worker of findEligibleWorkers(domain, run)) {
    if (advice.refused.has(worker.id) || !worker.isReachable) continue;
    if (advice.allowed.has(worker.id)) allowed.push(worker);
    else undecided.push(worker);
  }
  const isPreferred = ({ id }: DomainWorker) => advice.preferred.has(id);
  const isAnyFree = allowed.some((worker) =>
    hasCapacityForTask(worker, run, nowMs)
  );
  const inPreferenceOrder = (workers: DomainWorker[]) =>
    workers.map((worker) => ({
      worker,
      preferenceRank: isPreferred(worker) ? 0 : 1,
      capacityRank: hasCapacityForTask(worker, run, nowMs) ? 0 : 1,
      score: scoreWorker(domain, worker, run),
    })).sort((left, right) =>
      left.preferenceRank - right.preferenceRank ||
      left.capacityRank - right.capacityRank || right.score - left.score
    ).map(({ worker }) => worker);
  return [
    ...inPreferenceOrder(allowed).slice(
      0,
      run.waitingCount * 2 + SURPLUS_WORKERS,
    ),
    ...inPreferenceOrder(undecided).slice(
      0,
      countUndecidedToName(domain, run, {
        allowed: isAnyFree ? allowed.length : 0,
        preferred: undecided.filter(isPreferred).length,
      }),
    ),
  ].slice(0, MAX_WORKERS_PER_REQUEST);
}

/**
 * How many workers that the policy has not decided on a request names.
 *
 * @param counts the number of `allowed` workers, 0 if none of them has free
 *   capacity, and of undecided workers that are `preferred`
 */
function countUndecidedToName(
  domain: Domain,
  run: StepRun,
  { allowed, preferred }: { allowed: number; preferred: number },
): number {
  const { policy } = run.jobRun.job;
  const missing = Math.max(0, run.waitingCount - allowed);
  const share = domain.allowedShareByQueue.get(policy.queue) ??
    INITIAL_ALLOWED_SHARE;
  const wanted = Math.ceil(missing / share * SURPLUS_FACTOR) + SURPLUS_WORKERS;
  return Math.max(
    missing === 0 ? 0 : wanted,
    preferred,
    cheapWorkerCount(run),
  );
}

/**
 * Discards what the policy has decided about a worker that has restarted or
 * left: tickets are not valid for its next incarnation, which the policy may
 * allow although it refused the previous one.
 */
export function discardAdvice(domain: Domain, worker: string): void {
  for (const { advice } of domain.steps.values()) {
    advice.allowed.delete(worker);
    advice.refused.delete(worker);
    if (advice.requestInFlight) advice.outdated.add(worker);
  }
}

/** Applies the policy's answer to a request, or its failure. */
export function applyAdvice(
  domain: Domain,
  event: Extract<DomainEvent, { kind: "advised" }>,
  moment: Moment,
): void {
  const run = domain.steps.get(event.stepKey);
  if (run === undefined) return;
  const { advice } = run;
  const { outdated } = advice;
  advice.outdated = new Set();
  advice.requestInFlight = false;
  if (event.allowed === undefined) {
    advice.notBeforeMs = moment.steadyMs + FAILED_REQUEST_BACKOFF_MS;
    return;
  }
  const allowed = new Map(event.allowed);
  const validUntilMs = moment.steadyMs + event.validMs - TICKET_MARGIN_MS;
  const isFirst = advice.allowed.size === 0 && advice.refused.size === 0;
  for (const worker of event.namedWorkers) {
    if (outdated.has(worker)) continue;
    const ticketText = allowed.get(worker);
    if (ticketText === undefined) {
      advice.refused.add(worker);
      advice.allowed.delete(worker);
    } else {
      advice.allowed.set(worker, { text: ticketText, validUntilMs });
    }
  }
  if (allowed.size === 0) {
    advice.notBeforeMs = moment.steadyMs + NONE_ALLOWED_BACKOFF_MS;
  }
  if (isFirst) {
    updateAllowedShare(domain, run, allowed.size / event.namedWorkers.length);
  }
}

function updateAllowedShare(domain: Domain, run: StepRun, share: number): void {
  const { queue } = run.jobRun.job.policy;
  const previous = domain.allowedShareByQueue.get(queue) ?? share;
  const updated = previous + ALLOWED_SHARE_WEIGHT * (share - previous);
  domain.allowedShareByQueue.set(queue, Math.max(0.1, updated));
}
