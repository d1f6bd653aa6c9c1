/**
 * The state of a link to a worker, shared by its polls and its orders.
 *
 * @module
 */
import { createChildController, NO_LONGER_NEEDED } from "../base/mod.ts";
import type { DomainEvent, WorkerOrder } from "../domain/mod.ts";
import type { Clock, TaskFault, TaskHost, WorkerTarget } from "../hosts/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import { nextFence } from "./fence.ts";
import {
  expectedReading,
  expectForeignLease,
  isSameClock,
  type WorkerClock,
} from "./worker_clock.ts";

/** Delay after a failed poll or order, in milliseconds. */
export const RETRY_DELAY_MS = 150;
/** The longest time between two checks of a silent worker's leases, in ms. */
const MAX_EXPIRY_CHECK_INTERVAL_MS = 1_000;

/** Dependencies of a link. */
export type WorkerLinkHost = {
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  target: WorkerTarget;
  /** Duration of the lease that each poll grants, in milliseconds. */
  leaseMs: number;
  /** The longest lease that a worker grants, in milliseconds. */
  maxLeaseMs: number;
  /**
   * When all leases of earlier owners and links have expired, on the steady
   * clock.
   */
  earlierLeasesExpireAtMs(): number;
  /**
   * Whether the incarnation that first answers over the link may hold a lease
   * that was meant for a former one.
   */
  mayHoldEarlierLease(bornMs: number): boolean;
  /**
   * Time until the worker is polled again although the run ends that it listed
   * are not stored yet, in milliseconds; doubled each time. While the store is
   * slow, further ends would otherwise be noticed late.
   */
  unacknowledgedPollDelayMs: number;
  /** Whether the owner may still grant leases. */
  mayGrantLeases(): boolean;
  /** How far from now a lease may end at the latest, in milliseconds. */
  leaseLimitMs(): number;
  /** The last run end that an earlier link acknowledged, and its incarnation. */
  resumeFrom: { bornMs: number; acknowledged: number };
  /** The current time on the owner's clock, sent with poll results. */
  ownerClockMs(): number;
  emit(event: DomainEvent): void;
  /** Whether an order still applies. */
  isCurrent(order: WorkerOrder): boolean;
  onFenced(cause: string): void;
  signal: AbortSignal;
};

/** An order to start a task. */
export type StartOrder = Extract<WorkerOrder, { kind: "start" }>;

/** The state of a link. */
export type LinkState = {
  host: WorkerLinkHost;
  clock: WorkerClock;
  bornMs: number;
  /** The fence of calls to this incarnation. */
  fence: number;
  /** Whether the link has talked to a former incarnation. */
  hasRestarted: boolean;
  /** Whether it certainly refuses calls meant for former incarnations. */
  refusesEarlierCalls: boolean;
  /** The highest number of a run end that a poll listed. */
  highestListedEnd: number;
  acknowledged: number;
  /**
   * Starts that were sent to this incarnation and not answered, with the time at
   * which each certainly reached it, on the steady clock; undefined if it may
   * have been down already.
   */
  unansweredStarts: Map<StartOrder, number | undefined>;
  /** What a former incarnation left unanswered, until this one has reported. */
  unansweredByEarlier: ReturnType<typeof unansweredTasks> | undefined;
  /** Starts of which a copy has no answer, and that are being sent again. */
  startsInDoubt: Set<StartOrder>;
  /** The shortest time in which it has answered an order, in milliseconds. */
  fastestAnswerMs: number;
  /** Ends the poll in flight; replaced when it does. */
  pollController: AbortController;
  /**
   * Starts without an answer, with the time until which an incarnation that has
   * not been polled may run them, on the steady clock.
   */
  heldStarts: Map<StartOrder, number>;
  /** Called after each acknowledgement. */
  onAcknowledged: () => void;
  /** Attempts whose start was sent and may still be executed. */
  executableStarts: Set<string>;
  /** Attempts whose stop is being sent until the worker answers it. */
  activeStops: Set<string>;
  isSilent: boolean;
  hasLeaseExpired: boolean;
  /** Whether starts were still held when the lease was found to be expired. */
  hadHeldStarts: boolean;
  /** Whether a new incarnation was found at the worker's address. */
  isReplaced: boolean;
  /** Whether the worker has accepted a call with a higher fence than its own. */
  isFenced: boolean;
};

/**
 * For how long a lease may be granted to the worker now, in milliseconds; 0 for
 * not at all. Leases granted to a silent worker, which may or may not receive
 * them, would postpone its expiry forever.
 */
export function grantableLeaseMs({ host, isSilent }: LinkState): number {
  if (isSilent || !host.mayGrantLeases()) return 0;
  return Math.max(0, Math.min(host.leaseMs, host.leaseLimitMs()));
}

/** The worker, with the fence of calls to its present incarnation. */
export function targetOf({ host, fence }: LinkState): WorkerTarget {
  return { ...host.target, fence };
}

/**
 * Records that a call to the worker has failed.
 *
 * @param fence the fence of the call
 */
export function handleFault(
  state: LinkState,
  fault: TaskFault,
  fence: number,
): void {
  const { host } = state;
  const { id } = host.target;
  host.counters.count("worker_faults", { step: fault.step, kind: fault.kind });
  switch (fault.kind) {
    case "fenced":
      if (fence < state.fence) {
        host.logger.info(
          "A worker refused a call for its former incarnation.",
          {
            worker: id,
            step: fault.step,
          },
        );
        return;
      }
      state.isFenced = true;
      return host.onFenced(fault.message);
    case "gone":
      return expireLease(state, fault.message, true);
    case "refused":
    case "unsent":
    case "unknown":
      if (!state.isSilent) {
        host.logger.warn("A worker does not answer.", {
          worker: id,
          step: fault.step,
          cause: fault.message,
          lapsesInMs: Math.round(
            leasesExpireAtMs(state) - host.clock.steadyMs(),
          ),
        });
        markSilent(state, fault.message);
      }
      if (host.clock.steadyMs() > leasesExpireAtMs(state)) {
        expireLease(state, fault.message, false);
      }
  }
}

/**
 * Records that the worker may have restarted. Calls from now on have a higher
 * fence; they neither start anything nor carry leases or acknowledgements until
 * a poll has been answered.
 */
function markSilent(state: LinkState, cause: string): void {
  state.isSilent = true;
  state.fence = nextFence(state.fence);
  state.host.emit({ kind: "workerSilent", worker: state.host.target.id });
  watchExpiry(state, cause);
}

/**
 * Checks whether the answer to an order can come from the incarnation that was
 * polled last. If not, the next one has taken the order and the lease with it;
 * nothing more is sent to the worker until a poll shows which incarnation it is.
 *
 * @param sentToBornMs the incarnation that the order was sent to
 */
export function checkReading(
  state: LinkState,
  clockMs: number,
  sentToBornMs: number,
): void {
  const { host, clock } = state;
  const nowMs = host.clock.steadyMs();
  if (sentToBornMs !== state.bornMs) return;
  if (isSameClock(clock, clockMs, nowMs)) return;
  expectForeignLease(clock, host.maxLeaseMs, nowMs);
  if (state.isSilent) return;
  host.logger.warn("A worker has taken an order for its former incarnation.", {
    worker: host.target.id,
    clockMs,
    expectedClockMs: Math.round(expectedReading(clock, nowMs) ?? 0),
  });
  markSilent(state, "an order for its former incarnation was taken");
  state.pollController.abort(NO_LONGER_NEEDED);
  state.pollController = createChildController(host.signal);
}

/**
 * Reports the expiry of a silent worker's leases when it comes. The poll in
 * flight then may fail only later, and what waits for the expiry is late already.
 */
async function watchExpiry(state: LinkState, cause: string): Promise<void> {
  const { clock, signal } = state.host;
  while (state.isSilent && !state.hasLeaseExpired && !signal.aborted) {
    const remainingMs = leasesExpireAtMs(state) - clock.steadyMs();
    if (remainingMs < 0) return expireLease(state, cause, false);
    // The expiry is lowered once an earlier owner is known to have ended.
    const delayMs = Math.min(remainingMs + 1, MAX_EXPIRY_CHECK_INTERVAL_MS);
    await clock.sleep(delayMs, signal);
  }
}

/** When the leases of all owners have expired at the worker. */
function leasesExpireAtMs(state: LinkState): number {
  const { clock, host } = state;
  return Math.max(clock.leasesExpireAtMs, host.earlierLeasesExpireAtMs());
}

function expireLease(
  state: LinkState,
  cause: string,
  isReplaced: boolean,
): void {
  const { host } = state;
  // A worker may be found to be replaced long after its lease has expired.
  const isKnown = state.hasLeaseExpired && (state.isReplaced || !isReplaced);
  forgetLapsedStarts(state);
  const heldStarts = isReplaced
    ? []
    : [...state.heldStarts.keys()].map(({ task }) => task);
  const hasReleased = state.hadHeldStarts && heldStarts.length === 0;
  if (isKnown && !hasReleased) return;
  state.hasLeaseExpired = true;
  state.hadHeldStarts = heldStarts.length > 0;
  state.isReplaced = isReplaced;
  const nowMs = host.clock.steadyMs();
  host.logger.warn("The lease of a worker has expired.", {
    worker: host.target.id,
    cause,
    isReplaced,
    bornMs: state.bornMs,
    ownLeasesEndedAgoMs: Math.round(nowMs - state.clock.leasesExpireAtMs),
    earlierOwnersLeasesEndedAgoMs: Math.round(
      nowMs - host.earlierLeasesExpireAtMs(),
    ),
    heldStarts: heldStarts.join(" "),
  });
  host.emit({
    kind: "workerLapsed",
    worker: host.target.id,
    isReplaced,
    ...(heldStarts.length === 0 ? {} : { heldStarts }),
    // An earlier link may have sent starts to a worker that has not reported.
    ...(state.bornMs === 0 ? {} : unansweredTasks(state)),
  });
}

/** Forgets the starts that no incarnation of the worker may run any more. */
export function forgetLapsedStarts({ host, heldStarts }: LinkState): void {
  const nowMs = host.clock.steadyMs();
  for (const [order, untilMs] of heldStarts) {
    if (untilMs < nowMs) heldStarts.delete(order);
  }
}

/**
 * The tasks whose start was sent to the worker and not answered, and those of
 * them whose start certainly reached it.
 */
export function unansweredTasks(
  { unansweredStarts }: LinkState,
): { unansweredStarts: string[]; reachedStarts: string[] } {
  const starts = [...unansweredStarts];
  return {
    unansweredStarts: starts.map(([{ task }]) => task),
    reachedStarts: starts.filter(([, reachedAtMs]) => reachedAtMs !== undefined)
      .map(([{ task }]) => task),
  };
}
