import type { Randomness } from "../hosts/mod.ts";
import { createLogState, type LogState } from "../log_state/mod.ts";
import {
  createRetryBudget,
  createShareBook,
  type RetryBudget,
  type RetryBudgetOptions,
  type ShareBook,
} from "../limits/mod.ts";
import {
  createMembership,
  type HeartbeatLink,
  type Holder,
  holderOf,
  type Membership,
} from "../membership/mod.ts";
import type {
  Instance,
  Request,
  RequestId,
  Usage,
  WorkerAddress,
} from "../model/mod.ts";
import { createPlacement, type Placement } from "../placement/mod.ts";
import {
  createTimeLine,
  recordEvent,
  type TimeLine,
} from "../time_line/mod.ts";
import type { HeldWorker } from "./held_worker.ts";
import type { RequestEntry } from "./request_entry.ts";
import { createRunner, type Runner } from "./runner.ts";
import type { Moment } from "./scheduler_event.ts";
import type { SchedulerOptions } from "./scheduler_options.ts";

/** A worker that the instance list or a peer named. */
export type KnownWorker = { address: WorkerAddress; leaving: boolean };

/** A durable request, kept until the log has it. */
export type KeptCopy = {
  request: Request;
  /** Whether its record is on its way into the log. */
  isAppending: boolean;
};

/** Time for which a worker was observed in an hour, cumulative. */
export type Observation = {
  worker: string;
  token: number;
  hourMs: number;
  observedMs: number;
};

/** The whole state of one entry instance. */
export type Scheduler = {
  self: Instance;
  /** Earlier incarnations of this process, which were barred. */
  formerHolders: Set<Holder>;
  options: SchedulerOptions;
  randomness: Randomness;
  moment: Moment;
  /** Bounds how many calls are tried again. */
  retryBudget: RetryBudget;
  runner: Runner;
  membership: Membership;
  /** What was exchanged with each peer, by its base URL. */
  links: Map<string, HeartbeatLink>;
  placement: Placement;
  /** From what the agreements' shares are cut. */
  shareBook: ShareBook;
  log: LogState;
  logReachable: boolean;
  /** Whether the log was read to its end once. */
  logCaughtUp: boolean;
  /** How many records are on their way into the log. */
  pendingAppends: number;
  /** The workers of the own zone. */
  workers: Map<string, KnownWorker>;
  /** The workers of every zone by the latest list. */
  listedWorkers: Set<string>;
  held: Map<string, HeldWorker>;
  /** Workers that could not be reached a moment ago. */
  unreachable: Set<string>;
  /** When workers vanished from the list (wall clock, ms). */
  goneWorkers: Map<string, number>;
  /** When this incarnation began (wall clock, ms). */
  incarnatedAtMs: number;
  /** When this process started (wall clock, ms). */
  startedAtMs: number;
  requests: Map<RequestId, RequestEntry>;
  /** Durable requests kept here until the log has them. */
  copies: Map<RequestId, KeptCopy>;
  /**
   * When ids were refused with "did not run" (steady clock, ms). A copy of the
   * call that comes late must not run after all.
   */
  refusedIds: Map<RequestId, number>;
  /** Peers that calls were passed on to, by the topic that ends the wait. */
  forwards: Map<string, Holder>;
  /** Sequence number of the next request id. */
  nextSequence: number;
  /** Requests with a lower sequence number may have been forgotten. */
  forgottenBelow: number;
  usage: Map<string, Usage>;
  observations: Map<string, Observation>;
  /** Keys of usage and observations that the log does not have yet. */
  dirtyUsage: Set<string>;
  timeLine: TimeLine;
  draining: boolean;
  /** Whether nothing is left to hand over. */
  drained: boolean;
};

/**
 * Creates the state of an entry instance that has just started.
 *
 * @example
 * ```ts
 * const scheduler = createScheduler(self, options, randomness, moment);
 * const commands = step(scheduler, { kind: "started" }, moment);
 * ```
 *
 * @param self this incarnation; it must never have been used before
 */
export function createScheduler(
  self: Instance,
  options: SchedulerOptions,
  randomness: Randomness,
  moment: Moment,
): Scheduler {
  return {
    self,
    formerHolders: new Set(),
    options,
    randomness,
    moment,
    retryBudget: createRetryBudget(RETRY_BUDGET, moment.steadyMs),
    runner: createRunner(),
    membership: createMembership(self, {
      deadAfterMs: options.deadAfterMs,
      zoneBeatMs: options.heartbeatMs,
      remoteBeatMs: options.remoteHeartbeatMs,
      seeds: options.seeds,
    }),
    links: new Map(),
    placement: createPlacement({
      preference: options.preference,
      randomness,
      maxQueuedTasks: options.maxQueuedTasks,
    }),
    shareBook: createShareBook(),
    log: createLogState(),
    logReachable: false,
    logCaughtUp: false,
    pendingAppends: 0,
    workers: new Map(),
    listedWorkers: new Set(),
    held: new Map(),
    unreachable: new Set(),
    goneWorkers: new Map(),
    incarnatedAtMs: moment.wallMs,
    startedAtMs: moment.wallMs,
    requests: new Map(),
    copies: new Map(),
    refusedIds: new Map(),
    forwards: new Map(),
    nextSequence: 1,
    forgottenBelow: 0,
    usage: new Map(),
    observations: new Map(),
    dirtyUsage: new Set(),
    timeLine: createTimeLine({
      process: self.id,
      incarnation: self.incarnation,
      capacity: TIME_LINE_EVENTS,
    }),
    draining: false,
    drained: false,
  };
}

/** A tenth of the first attempts may be tried again, and some more by time. */
const RETRY_BUDGET: RetryBudgetOptions = {
  retriesPerAttempt: 0.1,
  retriesPerS: 20,
  maxSaved: 200,
};
/** How many events of the time line an instance keeps. */
const TIME_LINE_EVENTS = 5_000;

/** Returns the holder under which this instance takes leases now. */
export function selfHolder(scheduler: Scheduler): Holder {
  return holderOf(scheduler.self);
}

/** Tells whether a holder is this process, in this or an earlier incarnation. */
export function isSelf(scheduler: Scheduler, holder: Holder): boolean {
  return holder === selfHolder(scheduler) ||
    scheduler.formerHolders.has(holder);
}

/** Keeps a durable request until the log has it. */
export function keepCopy(scheduler: Scheduler, request: Request): void {
  if (scheduler.copies.has(request.id)) return;
  scheduler.copies.set(request.id, { request, isAppending: false });
  note(scheduler, "request.copied", request.id);
}

/** Tells whether durable work is accepted and not ended, as far as is known. */
export function isKept(scheduler: Scheduler, requestId: string): boolean {
  return scheduler.log.requests.has(requestId) ||
    scheduler.copies.has(requestId);
}

/** Adds an event to the time line of this instance. */
export function note(
  scheduler: Scheduler,
  name: string,
  subject?: string,
  detail?: string,
): void {
  recordEvent(scheduler.timeLine, {
    atMs: scheduler.moment.wallMs,
    name,
    ...(subject === undefined ? {} : { subject }),
    ...(detail === undefined ? {} : { detail }),
  });
}
