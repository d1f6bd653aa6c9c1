/**
 * Questions to the placement policy: which step asks when, and about which
 * workers.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { DomainEvent, Moment } from "./domain_event.ts";
import { eligibleWorkers, hasRoom, scoreWorker } from "./choose_worker.ts";
import type { Pass } from "./pass.ts";
import type { Seat } from "./seat.ts";
import type { StepRun } from "./step_run.ts";

/** The most workers that one question may name. */
const MAX_WORKERS_PER_QUESTION = 100;
/** The part of a ticket's life kept for the record and the start, in ms. */
const TICKET_MARGIN_MS = 200;
/** Pause after a question that failed, in milliseconds. */
const FAILED_QUESTION_PAUSE_MS = 150;
/** Pause after an answer that allowed no worker with room, in ms. */
const FRUITLESS_QUESTION_PAUSE_MS = 250;
/** Weight of the latest answer in the learned share of allowed workers. */
const LEARNING_WEIGHT = 0.2;
/** Share assumed before the first answer. */
const INITIAL_ALLOWED_SHARE = 0.3;
/** How many more workers are named than would do on average. */
const SURPLUS_FACTOR = 1.5;
const SURPLUS_WORKERS = 2;

/** Time for the way of a question and for expectations that are off, in ms. */
const ASK_AHEAD_MARGIN_MS = 150;

/** A question to the placement policy about one step. */
export type StepQuestion = {
  stepKey: string;
  workers: string[];
  /** How long the policy takes to answer, in milliseconds. */
  costMs: number;
};

/** Whether a start on this worker may leave now as far as policy goes. */
export function hasTicket(
  run: StepRun,
  worker: string,
  nowMs: number,
): boolean {
  if (run.jobRun.job.policy.advice === undefined) return true;
  const ticket = run.advice.allowed.get(worker);
  return ticket !== undefined && ticket.validUntilMs > nowMs;
}

/** Whether the policy may allow a worker, as far as is known. */
export function mayBeAllowed(run: StepRun, worker: string): boolean {
  if (run.jobRun.job.policy.advice === undefined) return true;
  return !run.advice.refused.has(worker);
}

/** Whether a step may ask now, as far as its earlier questions go. */
export function mayAsk(run: StepRun, nowMs: number): boolean {
  const { advice } = run;
  return run.jobRun.job.policy.advice !== undefined && !advice.asking &&
    nowMs >= advice.notBeforeMs;
}

/** Whether it is known which workers the policy allows. */
export function isDecided(run: StepRun): boolean {
  const { allowed, refused } = run.advice;
  return run.jobRun.job.policy.advice === undefined ||
    allowed.size > 0 || refused.size > 0;
}

/** How long before room is free its tickets have to be asked for, in ms. */
export function questionMs(run: StepRun, workers: number): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.jobRun.job.policy.advice ?? {};
  return decideMs + perWorkerMs * workers + ASK_AHEAD_MARGIN_MS;
}

/** Has a step ask about the workers of some seats, among others. */
export function askFor(pass: Pass, run: StepRun, seats: Seat[]): void {
  if (!mayAsk(run, pass.moment.steadyMs)) return;
  run.advice.preferred = new Set(seats.map(({ worker }) => worker.id));
  pass.domain.adviceQueue.push(run);
}

/**
 * Takes the question of the most urgent step that wants to ask. It is put
 * together only now, when it can leave, from the workers as they are now.
 *
 * @param mostMs the most time that the question may take, in milliseconds
 *
 * @example
 * ```ts
 * const question = takeQuestion(domain, moment, Infinity);
 * ```
 */
export function takeQuestion(
  domain: Domain,
  moment: Moment,
  mostMs: number,
): StepQuestion | undefined {
  for (const run of domain.adviceQueue) {
    if (run.waitingCount === 0 || !mayAsk(run, moment.steadyMs)) continue;
    if (likelyCostMs(domain, run) > mostMs) continue;
    const question = questionOf(domain, run, moment.steadyMs);
    if (question === undefined || question.costMs > mostMs) continue;
    run.advice.asking = true;
    return question;
  }
  return undefined;
}

/** What a question of a step takes as a rule; finding out takes longer. */
function likelyCostMs(domain: Domain, run: StepRun): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.jobRun.job.policy.advice ?? {};
  const { allowed, refused } = run.advice;
  const unknown = domain.workers.size - allowed.size - refused.size;
  const named = Math.min(Math.max(0, unknown), cheapCount(run));
  return decideMs + perWorkerMs * named;
}

/** Naming workers is cheap as long as it takes less than the decision. */
function cheapCount(run: StepRun): number {
  const { decideMs = 0, perWorkerMs = 0 } = run.jobRun.job.policy.advice ?? {};
  return perWorkerMs === 0
    ? MAX_WORKERS_PER_QUESTION
    : Math.floor(decideMs / perWorkerMs);
}

function questionOf(
  domain: Domain,
  run: StepRun,
  nowMs: number,
): StepQuestion | undefined {
  const cost = run.jobRun.job.policy.advice;
  if (cost === undefined) return undefined;
  const workers = workersToAsk(domain, run, nowMs);
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
function workersToAsk(
  domain: Domain,
  run: StepRun,
  nowMs: number,
): DomainWorker[] {
  const { advice } = run;
  const known: DomainWorker[] = [];
  const unknown: DomainWorker[] = [];
  for (const worker of eligibleWorkers(domain, run)) {
    if (advice.refused.has(worker.id) || !worker.isReachable) continue;
    if (advice.allowed.has(worker.id)) known.push(worker);
    else unknown.push(worker);
  }
  const inOrder = (workers: DomainWorker[]) =>
    workers.map((worker) => ({
      worker,
      isPreferred: advice.preferred.has(worker.id) ? 0 : 1,
      hasRoom: hasRoom(worker, run, nowMs) ? 0 : 1,
      score: scoreWorker(worker, run),
    })).sort((left, right) =>
      left.isPreferred - right.isPreferred ||
      left.hasRoom - right.hasRoom || right.score - left.score
    ).map(({ worker }) => worker);
  return [
    ...inOrder(known).slice(0, run.waitingCount * 2 + SURPLUS_WORKERS),
    ...inOrder(unknown).slice(0, unknownToName(domain, run, known.length)),
  ].slice(0, MAX_WORKERS_PER_QUESTION);
}

/** How many workers of which nothing is known a question names. */
function unknownToName(domain: Domain, run: StepRun, known: number): number {
  const { policy } = run.jobRun.job;
  const missing = Math.max(0, run.waitingCount - known);
  const share = domain.allowedShareByQueue.get(policy.queue) ??
    INITIAL_ALLOWED_SHARE;
  const wanted = Math.ceil(missing / share * SURPLUS_FACTOR) + SURPLUS_WORKERS;
  return Math.max(missing === 0 ? 0 : wanted, cheapCount(run));
}

/** Takes in the answer to a question, or that there was none. */
export function takeAdvice(
  domain: Domain,
  event: Extract<DomainEvent, { kind: "advised" }>,
  moment: Moment,
): void {
  const run = domain.steps.get(event.stepKey);
  if (run === undefined) return;
  const { advice } = run;
  advice.asking = false;
  if (event.allowed === undefined) {
    advice.notBeforeMs = moment.steadyMs + FAILED_QUESTION_PAUSE_MS;
    return;
  }
  const allowed = new Map(event.allowed);
  const validUntilMs = moment.steadyMs + event.validMs - TICKET_MARGIN_MS;
  const isFirst = advice.allowed.size === 0 && advice.refused.size === 0;
  for (const worker of event.asked) {
    const text = allowed.get(worker);
    if (text === undefined) {
      advice.refused.add(worker);
      advice.allowed.delete(worker);
    } else {
      advice.allowed.set(worker, { text, validUntilMs });
    }
  }
  if (allowed.size === 0) {
    advice.notBeforeMs = moment.steadyMs + FRUITLESS_QUESTION_PAUSE_MS;
  }
  if (isFirst) learnShare(domain, run, allowed.size / event.asked.length);
}

function learnShare(domain: Domain, run: StepRun, share: number): void {
  const { queue } = run.jobRun.job.policy;
  const known = domain.allowedShareByQueue.get(queue) ?? share;
  const learned = known + LEARNING_WEIGHT * (share - known);
  domain.allowedShareByQueue.set(queue, Math.max(0.1, learned));
}
