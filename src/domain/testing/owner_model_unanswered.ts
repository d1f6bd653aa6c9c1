/**
 * Workers of the simulation that answer polls, but no orders. An order without
 * an answer may be lost, or be executed at once or seconds later.
 *
 * @module
 */
import type { WorkerOrder } from "../domain_command.ts";
import { feedEvent } from "./domain_bench.ts";
import type {
  Model,
  PendingOrder,
  SimulatedWorker,
} from "./owner_model_state.ts";

/** When a link gives up a start without an answer, in milliseconds. */
const START_TIMEOUT_MS = 2_000;
/** The longest time until an order without an answer is executed, in ms. */
const MAX_EXECUTION_DELAY_MS = 12_000;

/** The name of an attempt. */
export function attemptKey({ task, attempt }: WorkerOrder): string {
  return `${task}#${attempt}`;
}

/** Has a worker stop or begin to answer orders. */
export function toggleOrderAnswers(simulated: SimulatedWorker): void {
  simulated.ignoresOrders = !simulated.ignoresOrders;
}

/**
 * Draws when a worker executes an order that it does not answer, if ever. After
 * the faults, it executes none.
 */
export function executeUnanswered(model: Model, pending: PendingOrder): void {
  const { random, bench } = model;
  if (model.isRecovering || random.integer(0, 2) === 0) return;
  const delayMs = random.integer(0, 1) * random.integer(
    0,
    MAX_EXECUTION_DELAY_MS,
  );
  model.orders.push({
    ...pending,
    isExecutedUnanswered: true,
    dueAtMs: bench.nowMs + delayMs,
  });
}

/** Reports that an order has no answer, as its link does. */
export function reportUnanswered(
  model: Model,
  { order }: PendingOrder,
): void {
  const { worker } = order;
  model.execute(feedEvent(model.bench, { kind: "workerSilent", worker }));
}

/**
 * Gives up a start that has had no answer for long enough.
 *
 * @returns false if its link sends it again
 */
export function giveUpStart(
  model: Model,
  { order, firstSentAtMs, tries }: PendingOrder,
): boolean {
  const { bench } = model;
  if (order.kind !== "start" || tries < 2) return false;
  if (bench.nowMs - firstSentAtMs < START_TIMEOUT_MS) return false;
  model.execute(feedEvent(bench, {
    ...order,
    kind: "startAnswered",
    answer: { kind: "rejected", cause: "unanswered", earlierUnknown: true },
  }));
  return true;
}

/**
 * Confirms the stop of an attempt without an answer to it, as its link does once
 * the worker rejects each copy of its start as expired.
 */
export function confirmExpiredStart(
  model: Model,
  { order }: PendingOrder,
): void {
  const { bench, startExpiries } = model;
  const expiresAtMs = startExpiries.get(attemptKey(order)) ?? 0;
  if (order.kind !== "stop" || expiresAtMs >= bench.nowMs) return;
  model.execute(feedEvent(bench, { ...order, kind: "stopConfirmed" }));
}
