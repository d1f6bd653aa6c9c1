/**
 * Questions to the placement policy: which step asks when, and about which
 * workers.
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

/** The most workers that one question may name. */
const MAX_WORKERS_PER_REQUEST = 100;
/** The part of a ticket's life kept for the record and the start, in ms. */
const TICKET_MARGIN_MS = 200;
/** Pause after a question that failed, in milliseconds. */
const FAILED_REQUEST_BACKOFF_MS = 150;
/** Pause after an answer that allowed no worker with room, in ms. */
const NONE_ALLOWED_BACKOFF_MS = 250;
/** Weight of the latest answer in the learned share of allowed workers. */
const ALLOWED_SHARE_WEIGHT = 0.2;
/** Share assumed before the first answer. */
const INITIAL_ALLOWED_SHARE = 0.3;
/** How many more workers are named than would do on average. */
const SURPLUS_FACTOR = 1.5;
const SURPLUS_WORKERS = 2;

/** Time for the way of a question and for expectations that are off, in ms. */
const REQUEST_LEAD_MARGIN_MS = 150;

/** A question to the placement policy about one step. */
export type AdviceRequest = {
  stepKey: string;
  workers: string[];
  /** How long the policy takes to answer, in milliseconds. */
  costMs: number;
};

/** Whether a start on this worker may leave now as far as policy goes. */
export function hasValidTicket(
  run: StepRun,
  worker: string,
  nowMs: number,
): boolean {
  if (run.job.job.policy.advice === undefined) return true;
  const ticket = run.advice.allowed.get(worker);
  return ticket !== undefined && ticket.validUntilMs > nowMs;
}

/** Whether the policy may allow a worker, as far as is known. */
export function mayBeAllowed(run: StepRun, worker: string): boolean {
  if (run.job.job.policy.advice === undefined) return true;
  return !run.advice.refused.has(worker);
}

/** Whether a step may ask now, as far as its earlier questions go. */
export function canRequestAdvice(run: StepRun, nowMs: number): boolean {
  const { advice } = run;
  return run.job.job.policy.advice !== undefined && !advice.requestInFlight &&
    nowMs >= advice.notBeforeMs;
}

/** Whether it is known which workers the policy allows. */
export function hasAdvice(run: StepRun): boolean {
  const { allowed, refused } = run.advice;
  return run.job.job.policy.advice === undefined ||
    allowed.size > 0 || refused.size > 0;
}

/** How long before room is free its tickets have to be asked for, in ms. */
export function requestLeadTimeMs(run: StepRun, workers: number): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.job.job.policy.advice ?? {};
  return decideMs + perWorkerMs * workers + REQUEST_LEAD_MARGIN_MS;
}

/** Has a step ask about the workers of some slots, among others. */
export function queueAdviceRequest(
  pass: SchedulingPass,
  run: StepRun,
  slots: TaskSlot[],
): void {
  if (!canRequestAdvice(run, pass.moment.steadyMs)) return;
  run.advice.preferred = new Set(slots.map(({ worker }) => worker.id));
  pass.domain.wishes.push(run);
}

/**
 * Takes the question of the most urgent step that wants to ask. It is put
 * together only now, when it can leave, from the workers as they are now.
 *
 * @param maxCostMs the most time that the question may take, in milliseconds
 *
 * @example
 * ```ts
 * const question = takeQuestion(domain, moment, Infinity);
 * ```
 */
export function takeAdviceRequest(
  domain: Domain,
  moment: Moment,
  maxCostMs: number,
): AdviceRequest | undefined {
  for (const run of domain.wishes) {
    if (run.waiting === 0 || !canRequestAdvice(run, moment.steadyMs)) continue;
    if (estimateCostMs(domain, run) > maxCostMs) continue;
    const request = createRequest(domain, run, moment.steadyMs);
    if (request === undefined || request.costMs > maxCostMs) continue;
    run.advice.requestInFlight = true;
    return request;
  }
  return undefined;
}

/** What a question of a step takes as a rule; finding out takes longer. */
function estimateCostMs(domain: Domain, run: StepRun): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.job.job.policy.advice ?? {};
  const { allowed, refused } = run.advice;
  const unknown = domain.workers.size - allowed.size - refused.size;
  const namedCount = Math.min(Math.max(0, unknown), cheapWorkerCount(run));
  return decideMs + perWorkerMs * namedCount;
}

/** Naming workers is cheap as long as it takes less than the decision. */
function cheapWorkerCount(run: StepRun): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.job.job.policy.advice ?? {};
  return perWorkerMs === 0
    ? MAX_WORKERS_PER_REQUEST
    : Math.floor(decideMs / perWorkerMs);
}

function createRequest(
  domain: Domain,
  run: StepRun,
  nowMs: number,
): AdviceRequest | undefined {
  const cost = run.job.job.policy.advice;
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
 * The workers that a question names: those known to be allowed, whose tickets
 * are renewed, and as many others as the step needs. Workers without room are
 * named too, since room may come up while the ticket is valid.
 */
function selectWorkersToName(
  domain: Domain,
  run: StepRun,
  nowMs: number,
): DomainWorker[] {
  const { advice } = run;
  const known: DomainWorker[] = [];
  const unknown: DomainWorker[] = [];
  for (const worker of findEligibleWorkers(domain, run)) {
    if (advice.refused.has(worker.id) || !worker.held) continue;
    if (advice.allowed.has(worker.id)) known.push(worker);
    else unknown.push(worker);
  }
  const inPreferenceOrder = (workers: DomainWorker[]) =>
    workers.map((worker) => ({
      worker,
      preferenceRank: advice.preferred.has(worker.id) ? 0 : 1,
      capacityRank: hasCapacityForTask(worker, run, nowMs) ? 0 : 1,
      score: scoreWorker(worker, run),
    })).sort((left, right) =>
      left.preferenceRank - right.preferenceRank ||
      left.capacityRank - right.capacityRank || right.score - left.score
    ).map(({ worker }) => worker);
  return [
    ...inPreferenceOrder(known).slice(0, run.waiting * 2 + SURPLUS_WORKERS),
    ...inPreferenceOrder(unknown).slice(
      0,
      unknownWorkersToName(domain, run, known.length),
    ),
  ].slice(0, MAX_WORKERS_PER_REQUEST);
}

/** How many workers of which nothing is known a question names. */
function unknownWorkersToName(
  domain: Domain,
  run: StepRun,
  known: number,
): number {
  const { policy } = run.job.job;
  const missing = Math.max(0, run.waiting - known);
  const share = domain.allowedShares.get(policy.queue) ??
    INITIAL_ALLOWED_SHARE;
  const wanted = Math.ceil(missing / share * SURPLUS_FACTOR) + SURPLUS_WORKERS;
  return Math.max(missing === 0 ? 0 : wanted, cheapWorkerCount(run));
}

/** Takes in the answer to a question, or that there was none. */
export function applyAdvice(
  domain: Domain,
  event: Extract<DomainEvent, { kind: "advised" }>,
  moment: Moment,
): void {
  const run = domain.steps.get(event.stepKey);
  if (run === undefined) return;
  const { advice } = run;
  advice.requestInFlight = false;
  if (event.allowed === undefined) {
    advice.notBeforeMs = moment.steadyMs + FAILED_REQUEST_BACKOFF_MS;
    return;
  }
  const allowed = new Map(event.allowed);
  const validUntilMs = moment.steadyMs + event.validMs - TICKET_MARGIN_MS;
  const isFirst = advice.allowed.size === 0 && advice.refused.size === 0;
  for (const worker of event.asked) {
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
    updateAllowedShare(domain, run, allowed.size / event.asked.length);
  }
}

function updateAllowedShare(domain: Domain, run: StepRun, share: number): void {
  const { queue } = run.job.job.policy;
  const known = domain.allowedShares.get(queue) ?? share;
  const learned = known + ALLOWED_SHARE_WEIGHT * (share - known);
  domain.allowedShares.set(queue, Math.max(0.1, learned));
}
