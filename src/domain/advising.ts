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
import type { StepRun } from "./step_run.ts";

/** The most workers that one question may name. */
const MAX_WORKERS_PER_QUESTION = 100;
/** The part of a ticket's life kept for the record and the start, in ms. */
const TICKET_MARGIN_MS = 350;
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

/** Whether a start on this worker may leave now as far as policy goes. */
export function hasTicket(
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

/**
 * Asks about the workers that could take the waiting tasks of a step, if no
 * question about it is on its way. Workers known to be allowed come first,
 * since their permission does not change.
 */
export function askForAdvice(
  domain: Domain,
  run: StepRun,
  moment: Moment,
): void {
  const { advice } = run;
  const cost = run.job.job.policy.advice;
  if (cost === undefined || advice.asking) return;
  if (moment.steadyMs < advice.notBeforeMs) return;
  const workers = workersToAsk(domain, run, moment.steadyMs);
  if (workers.length === 0) return;
  advice.asking = true;
  domain.commands.push({
    kind: "advise",
    stepKey: run.key,
    workers: workers.map((worker) => worker.id),
    costMs: cost.decideMs + cost.perWorkerMs * workers.length,
    latestStartMs: run.latestStartMs,
    priority: run.job.job.policy.priority,
  });
}

function workersToAsk(
  domain: Domain,
  run: StepRun,
  nowMs: number,
): DomainWorker[] {
  const { advice } = run;
  const known: DomainWorker[] = [];
  const unknown: DomainWorker[] = [];
  for (const worker of eligibleWorkers(domain, run)) {
    if (advice.refused.has(worker.id) || !worker.held) continue;
    const isAllowed = advice.allowed.has(worker.id);
    if (!run.step.gang && !hasRoom(worker, run, nowMs)) continue;
    if (isAllowed) known.push(worker);
    else unknown.push(worker);
  }
  const byScore = (left: DomainWorker, right: DomainWorker) =>
    scoreWorker(right, run) - scoreWorker(left, run);
  known.sort(byScore);
  unknown.sort(byScore);
  // All workers matter to a gang, which needs several of them at once.
  if (run.step.gang) {
    if (unknown.length === 0) return known;
    return [...known, ...unknown].slice(0, MAX_WORKERS_PER_QUESTION);
  }
  const missing = Math.max(0, run.waiting - known.length);
  const share = domain.allowedShares.get(run.job.job.policy.queue) ??
    INITIAL_ALLOWED_SHARE;
  const wanted = Math.ceil(missing / share * SURPLUS_FACTOR);
  const count = missing === 0 ? 0 : wanted + SURPLUS_WORKERS;
  return [...known, ...unknown.slice(0, count)]
    .slice(0, MAX_WORKERS_PER_QUESTION);
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
  const { queue } = run.job.job.policy;
  const known = domain.allowedShares.get(queue) ?? share;
  const learned = known + LEARNING_WEIGHT * (share - known);
  domain.allowedShares.set(queue, Math.max(0.1, learned));
}
