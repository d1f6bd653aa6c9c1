/**
 * The orders of a link to a worker: starts, stops and paces of tasks.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import type { WorkerOrder } from "../domain/mod.ts";
import type { StartOutcome, TaskFault } from "../hosts/mod.ts";
import { grantLease, longestLeaseEndMs } from "./worker_clock.ts";
import {
  checkReading,
  grantableLeaseMs,
  handleFault,
  type LinkState,
  RETRY_DELAY_MS,
  type StartOrder,
  targetOf,
} from "./worker_link_state.ts";

/**
 * A start that has no answer for this long, although its worker answers polls,
 * is given up, in milliseconds.
 */
const START_TIMEOUT_MS = 2_000;

/**
 * A worker that closes the connection of a start within this time, in ms, had
 * received it. Later, its next incarnation may have refused the connection.
 */
const MAX_CRASH_DELAY_MS = 150;

type StopOrder = Extract<WorkerOrder, { kind: "stop" }>;

/** Sends an order, and retries a start or stop while it still applies. */
export async function executeOrder(
  state: LinkState,
  order: WorkerOrder,
): Promise<void> {
  switch (order.kind) {
    case "start":
      return await start(state, order);
    case "stop":
      return await stop(state, order);
    case "pace":
      return await pace(state, order);
    default:
      return assertNever(order);
  }
}

async function start(state: LinkState, order: StartOrder): Promise<void> {
  await sendStart(state, order);
  state.startsInDoubt.delete(order);
}

async function sendStart(state: LinkState, order: StartOrder): Promise<void> {
  const { host, executableStarts } = state;
  const { task, attempt } = order;
  let earlierUnknown = false;
  let tries = 0;
  let firstSentAtMs: number | undefined;
  let sentToBornMs: number | undefined;
  let expiresAtMs = 0;
  while (host.isCurrent(order) && !host.signal.aborted) {
    // The start may have crashed the worker; its owner decides what follows.
    if (earlierUnknown && state.bornMs !== sentToBornMs) return;
    const nowMs = host.clock.steadyMs();
    if (order.isSuspect === true && !await isAnswering(state)) {
      if (host.signal.aborted) return;
      await host.clock.sleep(RETRY_DELAY_MS, host.signal);
      continue;
    }
    if (!host.isCurrent(order)) continue;
    if (earlierUnknown && state.bornMs !== sentToBornMs) return;
    const leaseUntilMs = grantStartLease(state);
    if (leaseUntilMs === undefined) {
      await host.clock.sleep(RETRY_DELAY_MS, host.signal);
      continue;
    }
    const { fence, bornMs } = state;
    sentToBornMs = bornMs;
    state.unansweredStarts.set(order, undefined);
    const sentAtMs = host.clock.steadyMs();
    firstSentAtMs ??= nowMs;
    tries += 1;
    expiresAtMs = state.clock.leasesExpireAtMs;
    executableStarts.add(attemptKey(order));
    const result = await host.tasks.start(targetOf(state), {
      task,
      attempt,
      specification: order.specification,
      leaseUntilMs,
      ticket: order.ticket,
      checkpoint: order.checkpoint,
    }, host.signal);
    if (host.signal.aborted) return;
    const isAnswered = result.isOk() || result.error.kind !== "unknown";
    if (isAnswered && !earlierUnknown) state.unansweredStarts.delete(order);
    const elapsedMs = host.clock.steadyMs() - sentAtMs;
    if (result.isOk()) {
      state.fastestAnswerMs = Math.min(state.fastestAnswerMs, elapsedMs);
      state.heldStarts.delete(order);
      host.counters.observe("start_ms", host.clock.steadyMs() - nowMs);
      const { clockMs } = result.value;
      if (clockMs !== undefined) checkReading(state, clockMs, bornMs);
      reportStartOutcome(state, order, result.value, earlierUnknown);
      break;
    }
    const fault = result.error;
    if (!isAnswered && hasReachedWorker(state, order, fault, elapsedMs)) {
      state.unansweredStarts.set(order, host.clock.steadyMs());
    }
    host.logger.warn("Failed to start a task.", {
      task,
      attempt,
      worker: host.target.id,
      fault: fault.kind,
      cause: fault.message,
    });
    handleFault(state, fault, fence);
    if (state.isFenced || fault.kind === "gone") return;
    if (fault.kind === "refused") {
      const outcome = { kind: "rejected", cause: "unhealthy" } as const;
      reportStartOutcome(state, order, outcome, earlierUnknown);
      break;
    }
    // It is sent again only after the worker has answered a poll.
    const unansweredMs = host.clock.steadyMs() - firstSentAtMs;
    if (fault.kind === "unknown") {
      earlierUnknown = true;
      state.startsInDoubt.add(order);
      const untilMs = longestLeaseEndMs(
        host.maxLeaseMs,
        host.clock.steadyMs(),
      );
      state.heldStarts.set(order, untilMs);
    }
    if (tries > 1 && unansweredMs >= START_TIMEOUT_MS) {
      const outcome = { kind: "rejected", cause: "unanswered" } as const;
      reportStartOutcome(state, order, outcome, earlierUnknown);
      break;
    }
    await host.clock.sleep(RETRY_DELAY_MS, host.signal);
  }
  state.startsInDoubt.delete(order);
  if (earlierUnknown) {
    await host.clock.sleep(expiresAtMs - host.clock.steadyMs(), host.signal);
    // The clock of a new incarnation starts anew.
    if (state.bornMs !== sentToBornMs) return;
  }
  executableStarts.delete(attemptKey(order));
}

/**
 * Grants the lease that a start carries.
 *
 * @returns its end on the worker's clock; undefined if there is none at present
 */
function grantStartLease(state: LinkState): number | undefined {
  const leaseMs = grantableLeaseMs(state);
  if (leaseMs <= 0) return undefined;
  return grantLease(state.clock, leaseMs, state.host.clock.steadyMs());
}

/** Whether the worker answers a poll at once, in the same incarnation. */
async function isAnswering(state: LinkState): Promise<boolean> {
  const { host, fence } = state;
  if (state.isSilent) return false;
  const poll = { acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 };
  const sentAtMs = host.clock.steadyMs();
  const result = await host.tasks.poll(targetOf(state), poll, host.signal);
  if (host.signal.aborted) return false;
  if (result.isOk()) {
    const elapsedMs = host.clock.steadyMs() - sentAtMs;
    state.fastestAnswerMs = Math.min(state.fastestAnswerMs, elapsedMs);
    return result.value.bornMs === state.bornMs;
  }
  handleFault(state, result.error, fence);
  return false;
}

/**
 * Whether a start without an answer certainly reached a worker that was still
 * up: the worker had just answered, or it closed the connection soon afterwards,
 * but not so soon that this may have been on its way when the start was sent.
 */
function hasReachedWorker(
  { fastestAnswerMs }: LinkState,
  { isSuspect }: StartOrder,
  { isClosed }: TaskFault,
  elapsedMs: number,
): boolean {
  if (isSuspect === true) return true;
  return isClosed === true && elapsedMs >= fastestAnswerMs &&
    elapsedMs <= MAX_CRASH_DELAY_MS;
}

function reportStartOutcome(
  state: LinkState,
  order: StartOrder,
  { clockMs: _, ...outcome }: StartOutcome,
  earlierUnknown: boolean,
): void {
  const { host } = state;
  const { task, attempt } = order;
  host.counters.count("starts", { outcome: outcome.kind });
  if (outcome.kind !== "accepted") {
    host.logger.info("A worker did not accept a task start.", {
      task,
      attempt,
      worker: host.target.id,
      outcome: outcome.kind === "rejected" ? outcome.cause : outcome.kind,
    });
  }
  host.emit({
    kind: "startAnswered",
    worker: host.target.id,
    task,
    attempt,
    answer: outcome.kind === "rejected"
      ? { ...outcome, earlierUnknown }
      : outcome,
  });
}

/** Stops an attempt, unless an earlier order to stop it is still retried. */
async function stop(state: LinkState, order: StopOrder): Promise<void> {
  const { activeStops } = state;
  const key = attemptKey(order);
  if (activeStops.has(key)) return;
  activeStops.add(key);
  await retryStop(state, order);
  activeStops.delete(key);
}

async function retryStop(state: LinkState, order: StopOrder): Promise<void> {
  const { host } = state;
  const { task, attempt } = order;
  const worker = host.target.id;
  let isConfirmed = false;
  while (host.isCurrent(order) && !host.signal.aborted) {
    const { fence } = state;
    const result = await host.tasks.stop(
      targetOf(state),
      task,
      attempt,
      host.signal,
    );
    if (host.signal.aborted) return;
    const mayStart = result.isErr() && isStartExecutable(state, order);
    if (!mayStart && !isConfirmed) {
      isConfirmed = true;
      host.emit({ kind: "stopConfirmed", worker, task, attempt });
    }
    if (result.isOk()) return;
    handleFault(state, result.error, fence);
    if (state.isFenced || result.error.kind === "gone") return;
    await host.clock.sleep(RETRY_DELAY_MS, host.signal);
  }
}

/**
 * Whether a worker that has not answered the stop of an attempt may still begin
 * it: a copy of its start may arrive before the lease that it carries expires.
 */
function isStartExecutable(state: LinkState, order: WorkerOrder): boolean {
  const { host, executableStarts } = state;
  return executableStarts.has(attemptKey(order)) ||
    host.clock.steadyMs() <= host.earlierLeasesExpireAtMs();
}

function attemptKey({ task, attempt }: WorkerOrder): string {
  return `${task}/${attempt}`;
}

/** Sends a pace order without retries; a later change of the pace replaces it. */
async function pace(
  state: LinkState,
  order: Extract<WorkerOrder, { kind: "pace" }>,
): Promise<void> {
  const { host } = state;
  const { task, attempt, percent } = order;
  const result = await host.tasks.pace(
    targetOf(state),
    task,
    attempt,
    percent,
    host.signal,
  );
  if (result.isOk()) return;
  host.logger.info("Failed to set the pace of a task.", {
    task,
    worker: host.target.id,
    cause: result.error.message,
  });
}
