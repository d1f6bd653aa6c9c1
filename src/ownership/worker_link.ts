/**
 * The connection of a domain's owner to one worker: polls the worker's state
 * continuously, renews its lease, and sends orders to it.
 *
 * @module
 */
import { NO_LONGER_NEEDED } from "../base/mod.ts";
import type { DomainEvent, WorkerOrder } from "../domain/mod.ts";
import type {
  Clock,
  StartOutcome,
  TaskFault,
  TaskHost,
  WorkerTarget,
} from "../hosts/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import { grantLease, recordReading, type WorkerClock } from "./worker_clock.ts";

/** How long a worker may delay the answer to a long poll, in milliseconds. */
const POLL_WAIT_MS = 1_000;
/** Delay after a failed poll or order, in milliseconds. */
const RETRY_DELAY_MS = 150;
/**
 * The longest time between two polls while listed run ends are not stored yet,
 * in milliseconds. The worker answers such polls at once.
 */
const MAX_UNACKNOWLEDGED_POLL_DELAY_MS = 1_000;

/** Dependencies of a link. */
export type WorkerLinkHost = {
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  target: WorkerTarget;
  /** Duration of the lease that each poll grants, in milliseconds. */
  leaseMs: number;
  /** When all leases of earlier owners have expired, on the steady clock. */
  earlierLeasesExpireAtMs(): number;
  /**
   * Time until the worker is polled again although the run ends that it listed
   * are not stored yet, in milliseconds; doubled each time. While the store is
   * slow, further ends would otherwise be noticed late.
   */
  unacknowledgedPollDelayMs: number;
  /** Whether the owner may still grant leases. */
  mayGrantLeases(): boolean;
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

/** A link to a worker. */
export type WorkerLink = {
  address: string;
  /** Sends an order, and retries a start or stop while it still applies. */
  order(order: WorkerOrder): void;
  /** Records that the run ends up to this number are in the store. */
  acknowledge(bornMs: number, lastEnd: number): void;
};

type LinkState = {
  host: WorkerLinkHost;
  clock: WorkerClock;
  bornMs: number;
  /** The highest number of a run end that a poll listed. */
  highestListedEnd: number;
  acknowledged: number;
  /** Tasks whose start was sent to this incarnation and not answered. */
  unansweredStarts: Set<string>;
  /** Called after each acknowledgement. */
  onAcknowledged: () => void;
  isSilent: boolean;
  hasLeaseExpired: boolean;
  /** Whether a new incarnation was found at the worker's address. */
  isReplaced: boolean;
  /** Whether the worker has accepted an owner with a higher epoch. */
  isFenced: boolean;
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
    clock: { sample: undefined, leasesExpireAtMs: 0 },
    bornMs: 0,
    highestListedEnd: 0,
    acknowledged: 0,
    unansweredStarts: new Set(),
    onAcknowledged: () => {},
    isSilent: false,
    hasLeaseExpired: false,
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
 * Polls the worker until the link closes, or the worker refuses its epoch: the
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

/** Polls the worker once; false if the next poll has to be delayed. */
async function pollOnce(state: LinkState): Promise<boolean> {
  const { host } = state;
  const sentAtMs = host.clock.steadyMs();
  const ownerSentAtMs = host.ownerClockMs();
  // Leases granted to a silent worker, which may or may not receive them, would
  // postpone its expiry forever.
  const leaseUntilMs = host.mayGrantLeases() && !state.isSilent
    ? grantLease(state.clock, host.leaseMs, sentAtMs)
    : undefined;
  const waitMs = leaseUntilMs === undefined ? 0 : POLL_WAIT_MS;
  const result = await host.tasks.poll(host.target, {
    acknowledged: state.acknowledged,
    leaseUntilMs,
    waitMs,
  }, host.signal);
  if (host.signal.aborted) return false;
  if (result.isErr()) {
    handleFault(state, result.error);
    return false;
  }
  const { clockMs, bornMs, running, ended } = result.value;
  recordReading(state.clock, clockMs, host.clock.steadyMs());
  let unansweredStarts: string[] | undefined;
  if (bornMs !== state.bornMs) {
    if (state.bornMs !== 0) unansweredStarts = [...state.unansweredStarts];
    state.unansweredStarts.clear();
    state.bornMs = bornMs;
    // A new incarnation restarts the numbers of run ends; none is stored yet.
    const isSameIncarnation = bornMs === host.resumeFrom.bornMs;
    state.acknowledged = isSameIncarnation ? host.resumeFrom.acknowledged : 0;
    state.highestListedEnd = state.acknowledged;
  }
  if (state.isSilent) {
    host.logger.info("A worker answers again.", { worker: host.target.id });
  }
  state.isSilent = false;
  state.hasLeaseExpired = false;
  state.isReplaced = false;
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
      sentAtMs: ownerSentAtMs,
      ...(unansweredStarts === undefined ? {} : { unansweredStarts }),
    },
  });
  // Without a lease, the worker answers immediately.
  return host.mayGrantLeases();
}

function handleFault(state: LinkState, fault: TaskFault): void {
  const { host } = state;
  const { id } = host.target;
  host.counters.count("worker_faults", { step: fault.step, kind: fault.kind });
  switch (fault.kind) {
    case "fenced":
      state.isFenced = true;
      return host.onFenced(fault.message);
    case "gone":
      return expireLease(state, fault.message, true);
    case "refused":
    case "unsent":
    case "unknown":
      if (!state.isSilent) {
        state.isSilent = true;
        host.logger.warn("A worker does not answer.", {
          worker: id,
          step: fault.step,
          cause: fault.message,
          lapsesInMs: Math.round(
            leasesExpireAtMs(state) - host.clock.steadyMs(),
          ),
        });
        host.emit({ kind: "workerSilent", worker: id });
      }
      if (host.clock.steadyMs() > leasesExpireAtMs(state)) {
        expireLease(state, fault.message, false);
      }
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
  if (isKnown) return;
  state.hasLeaseExpired = true;
  state.isReplaced = isReplaced;
  host.logger.warn("The lease of a worker has expired.", {
    worker: host.target.id,
    cause,
    isReplaced,
  });
  host.emit({
    kind: "workerLapsed",
    worker: host.target.id,
    isReplaced,
    // An earlier link may have sent starts to a worker that has not reported.
    ...(state.bornMs === 0
      ? {}
      : { unansweredStarts: [...state.unansweredStarts] }),
  });
}

async function executeOrder(
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
  }
}

async function start(
  state: LinkState,
  order: Extract<WorkerOrder, { kind: "start" }>,
): Promise<void> {
  const { host } = state;
  const { task, attempt } = order;
  let earlierUnknown = false;
  let sentToBornMs: number | undefined;
  while (host.isCurrent(order) && !host.signal.aborted) {
    // The start may have crashed the worker; its owner decides what follows.
    if (earlierUnknown && state.bornMs !== sentToBornMs) return;
    const nowMs = host.clock.steadyMs();
    const leaseUntilMs = host.mayGrantLeases() && !state.isSilent
      ? grantLease(state.clock, host.leaseMs, nowMs)
      : undefined;
    if (leaseUntilMs === undefined) {
      await host.clock.sleep(RETRY_DELAY_MS, host.signal);
      continue;
    }
    if (!earlierUnknown) sentToBornMs = state.bornMs;
    state.unansweredStarts.add(task);
    const result = await host.tasks.start(host.target, {
      task,
      attempt,
      specification: order.specification,
      leaseUntilMs,
      ticket: order.ticket,
      checkpoint: order.checkpoint,
    }, host.signal);
    if (host.signal.aborted) return;
    const isAnswered = result.isOk() || result.error.kind !== "unknown";
    if (isAnswered && !earlierUnknown) state.unansweredStarts.delete(task);
    if (result.isOk()) {
      host.counters.observe("start_ms", host.clock.steadyMs() - nowMs);
      reportStartOutcome(state, order, result.value, earlierUnknown);
      return;
    }
    const fault = result.error;
    host.logger.warn("Failed to start a task.", {
      task,
      attempt,
      worker: host.target.id,
      fault: fault.kind,
      cause: fault.message,
    });
    handleFault(state, fault);
    if (fault.kind === "fenced" || fault.kind === "gone") return;
    if (fault.kind === "refused") {
      const outcome = { kind: "rejected", cause: "unhealthy" } as const;
      reportStartOutcome(state, order, outcome, earlierUnknown);
      return;
    }
    if (fault.kind === "unknown") earlierUnknown = true;
    await host.clock.sleep(RETRY_DELAY_MS, host.signal);
  }
}

function reportStartOutcome(
  state: LinkState,
  order: Extract<WorkerOrder, { kind: "start" }>,
  outcome: StartOutcome,
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

async function stop(
  state: LinkState,
  order: Extract<WorkerOrder, { kind: "stop" }>,
): Promise<void> {
  const { host } = state;
  const { task, attempt } = order;
  while (host.isCurrent(order) && !host.signal.aborted) {
    const result = await host.tasks.stop(
      host.target,
      task,
      attempt,
      host.signal,
    );
    if (host.signal.aborted) return;
    if (result.isOk()) {
      host.emit({
        kind: "stopConfirmed",
        worker: host.target.id,
        task,
        attempt,
      });
      return;
    }
    handleFault(state, result.error);
    if (result.error.kind === "fenced" || result.error.kind === "gone") return;
    await host.clock.sleep(RETRY_DELAY_MS, host.signal);
  }
}

/** Sends a pace order without retries; a later change of the pace replaces it. */
async function pace(
  state: LinkState,
  order: Extract<WorkerOrder, { kind: "pace" }>,
): Promise<void> {
  const { host } = state;
  const { task, attempt, percent } = order;
  const result = await host.tasks.pace(
    host.target,
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
