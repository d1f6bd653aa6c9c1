/**
 * The connection of a domain's owner to one worker: polls the worker's state
 * continuously, renews its lease, and sends orders to it.
 *
 * @module
 */
import { createChildController, NO_LONGER_NEEDED } from "../base/mod.ts";
import type { WorkerOrder } from "../domain/mod.ts";
import type { PollAnswer } from "../hosts/mod.ts";
import { nextFence } from "./fence.ts";
import {
  createWorkerClock,
  expectedReading,
  expectForeignLease,
  grantLease,
  recordReading,
} from "./worker_clock.ts";
import {
  forgetLapsedStarts,
  grantableLeaseMs,
  handleFault,
  type LinkState,
  RETRY_DELAY_MS,
  targetOf,
  unansweredTasks,
  type WorkerLinkHost,
} from "./worker_link_state.ts";
import { executeOrder } from "./worker_orders.ts";

/** The longest time that a worker may delay the answer to a poll, in ms. */
const POLL_WAIT_MS = 1_000;
/** A worker delays polls less if its lease is short, at least by this, in ms. */
const MIN_POLL_WAIT_MS = 100;
/** How many long polls a short lease lasts. */
const POLLS_PER_LEASE = 4;
/**
 * The longest time between two polls while listed run ends are not stored yet,
 * in milliseconds. The worker answers such polls at once.
 */
const MAX_UNACKNOWLEDGED_POLL_DELAY_MS = 1_000;

/** A link to a worker. */
export type WorkerLink = {
  address: string;
  /** Sends an order, and retries a start or stop while it still applies. */
  order(order: WorkerOrder): void;
  /** Records that the run ends up to this number are in the store. */
  acknowledge(bornMs: number, lastEnd: number): void;
};

/**
 * Opens a link, which is closed by the signal.
 *
 * @example
 * ```ts
 * const link = openWorkerLink(host);
 * link.order({ kind: "stop", worker, task, attempt });
 * ```
 */
export function openWorkerLink(host: WorkerLinkHost): WorkerLink {
  const state: LinkState = {
    host,
    clock: createWorkerClock(),
    bornMs: 0,
    fence: host.target.fence,
    hasRestarted: false,
    refusesEarlierCalls: false,
    highestListedEnd: 0,
    acknowledged: 0,
    unansweredStarts: new Map(),
    unansweredByEarlier: undefined,
    startsInDoubt: new Set(),
    fastestAnswerMs: Infinity,
    pollController: createChildController(host.signal),
    heldStarts: new Map(),
    onAcknowledged: () => {},
    executableStarts: new Set(),
    activeStops: new Set(),
    isSilent: false,
    hasLeaseExpired: false,
    hadHeldStarts: false,
    isReplaced: false,
    isFenced: false,
  };
  pollWorker(state);
  return {
    address: host.target.address,
    order: (order) => void executeOrder(state, order),
    acknowledge(bornMs, lastEnd) {
      if (bornMs !== state.bornMs) return;
      state.acknowledged = Math.max(state.acknowledged, lastEnd);
      state.onAcknowledged();
    },
  };
}

/**
 * Polls the worker until the link closes, or the worker refuses its fence: the
 * owner has a successor then, and may be gone, so that nobody closes the link.
 */
async function pollWorker(state: LinkState): Promise<void> {
  const { clock, signal, unacknowledgedPollDelayMs } = state.host;
  let delayMs = unacknowledgedPollDelayMs;
  while (!signal.aborted && !state.isFenced) {
    const succeeded = await pollOnce(state);
    if (!succeeded) {
      await clock.sleep(RETRY_DELAY_MS, signal);
    } else if (state.highestListedEnd > state.acknowledged) {
      await waitForAcknowledgement(state, delayMs);
      const isAcknowledged = state.highestListedEnd <= state.acknowledged;
      delayMs = isAcknowledged
        ? unacknowledgedPollDelayMs
        : Math.min(2 * delayMs, MAX_UNACKNOWLEDGED_POLL_DELAY_MS);
    } else if (acknowledgeableEnd(state) < state.acknowledged) {
      // The worker lists the same ends again at once.
      await clock.sleep(unacknowledgedPollDelayMs, signal);
    }
  }
}

/** Waits until the listed run ends are acknowledged, or a timeout. */
async function waitForAcknowledgement(
  state: LinkState,
  timeoutMs: number,
): Promise<void> {
  const { clock, signal } = state.host;
  const waitController = new AbortController();
  const endWait = () => waitController.abort(NO_LONGER_NEEDED);
  state.onAcknowledged = () => {
    if (state.highestListedEnd <= state.acknowledged) endWait();
  };
  signal.addEventListener("abort", endWait);
  await clock.sleep(timeoutMs, waitController.signal);
  signal.removeEventListener("abort", endWait);
  state.onAcknowledged = () => {};
}

/**
 * The last run end that a poll may acknowledge; 0 if the next incarnation of the
 * worker may get the poll and have ended a run already. It would forget that end.
 */
function acknowledgeableEnd(
  { isSilent, startsInDoubt, acknowledged }: LinkState,
): number {
  return isSilent || startsInDoubt.size > 0 ? 0 : acknowledged;
}

/** How long a worker may delay the answer to a poll with a lease, in ms. */
function pollWaitMs(leaseMs: number): number {
  const waitMs = Math.floor(leaseMs / POLLS_PER_LEASE);
  return Math.min(POLL_WAIT_MS, Math.max(MIN_POLL_WAIT_MS, waitMs));
}

/** Polls the worker once; false if the next poll has to be delayed. */
async function pollOnce(state: LinkState): Promise<boolean> {
  const { host } = state;
  const sentAtMs = host.clock.steadyMs();
  const ownerSentAtMs = host.ownerClockMs();
  const leaseMs = grantableLeaseMs(state);
  const leaseUntilMs = leaseMs > 0
    ? grantLease(state.clock, leaseMs, sentAtMs)
    : undefined;
  const isHeldUp = leaseUntilMs !== undefined && state.refusesEarlierCalls;
  const { fence, isSilent } = state;
  const { signal } = state.pollController;
  const result = await host.tasks.poll(targetOf(state), {
    acknowledged: acknowledgeableEnd(state),
    leaseUntilMs,
    waitMs: isHeldUp ? pollWaitMs(leaseMs) : 0,
  }, signal);
  if (signal.aborted) return false;
  if (result.isErr()) {
    handleFault(state, result.error, fence);
    return false;
  }
  const { clockMs, bornMs, running, ended, hasMoreEnds } = result.value;
  const nowMs = host.clock.steadyMs();
  if (bornMs !== state.bornMs) meetIncarnation(state, result.value, isSilent);
  else doubtEarlierStarts(state, sentAtMs);
  recordReading(state.clock, clockMs, nowMs);
  if (!state.refusesEarlierCalls) {
    if (state.hasRestarted || host.mayHoldEarlierLease(bornMs)) {
      expectForeignLease(state.clock, host.maxLeaseMs, nowMs);
    }
    // Calls meant for the former incarnation could change what it reports now.
    if (fence !== state.fence) return true;
    state.refusesEarlierCalls = true;
  }
  const unanswered = state.unansweredByEarlier;
  state.unansweredByEarlier = undefined;
  if (state.isSilent) {
    host.logger.info("A worker answers again.", { worker: host.target.id });
  }
  state.isSilent = false;
  state.hasLeaseExpired = false;
  state.hadHeldStarts = false;
  state.isReplaced = false;
  forgetLapsedStarts(state);
  for (const { number } of ended) {
    state.highestListedEnd = Math.max(state.highestListedEnd, number);
  }
  host.emit({
    kind: "looked",
    worker: host.target.id,
    look: {
      bornMs,
      running,
      ended,
      ...(hasMoreEnds === true ? { hasMoreEnds } : {}),
      sentAtMs: ownerSentAtMs,
      ...unanswered,
    },
  });
  // Without a lease, the worker answers immediately.
  return grantableLeaseMs(state) > 0;
}

/**
 * Begins to talk to an incarnation that the link has not known.
 *
 * @param wasSilent whether it was found by a poll of a silent worker, which has a
 * higher fence than the calls meant for the former incarnation
 */
function meetIncarnation(
  state: LinkState,
  { bornMs, clockMs }: PollAnswer,
  wasSilent: boolean,
): void {
  const { host } = state;
  if (state.bornMs !== 0) {
    logRestart(state, { bornMs, clockMs });
    state.unansweredByEarlier ??= unansweredTasks(state);
    if (!wasSilent) state.fence = nextFence(state.fence);
    state.hasRestarted = true;
    state.refusesEarlierCalls = false;
  }
  state.unansweredStarts.clear();
  state.bornMs = bornMs;
  // A new incarnation restarts the numbers of run ends; none is stored yet.
  const isSameIncarnation = bornMs === host.resumeFrom.bornMs;
  state.acknowledged = isSameIncarnation ? host.resumeFrom.acknowledged : 0;
  state.highestListedEnd = state.acknowledged;
}

/**
 * Logs that a worker has restarted. Its clock has started anew, so a call meant
 * for the incarnation before carries a lease whose end it reads differently.
 */
function logRestart(
  { host, clock, bornMs: earlierBornMs, acknowledged }: LinkState,
  { bornMs, clockMs }: { bornMs: number; clockMs: number },
): void {
  const nowMs = host.clock.steadyMs();
  const { lastGrant } = clock;
  host.counters.count("worker_restarts");
  host.logger.info("A worker has restarted.", {
    worker: host.target.id,
    bornMs,
    earlierBornMs,
    clockMs,
    expectedClockMs: Math.round(expectedReading(clock, nowMs) ?? 0),
    earlierAcknowledged: acknowledged,
    ...(lastGrant === undefined ? {} : {
      earlierLeaseUntilMs: Math.round(lastGrant.untilMs),
      earlierLeaseAgeMs: Math.round(nowMs - lastGrant.atMs),
    }),
  });
}

/**
 * Records that a worker has answered a poll sent at a time: a start that reached
 * it before and has no answer did not crash it at once, so it may be late.
 */
function doubtEarlierStarts(
  { unansweredStarts }: LinkState,
  sentAtMs: number,
): void {
  for (const [order, reachedAtMs] of unansweredStarts) {
    if (reachedAtMs === undefined || reachedAtMs >= sentAtMs) continue;
    unansweredStarts.set(order, undefined);
  }
}
