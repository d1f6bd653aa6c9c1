/**
 * The connection of a domain's owner to one worker: looks at it all the time,
 * prolongs its lease, and carries orders to it.
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
import { grantLease, takeReading, type WorkerClock } from "./worker_clock.ts";

/** How long a worker may hold back the answer to a look, in milliseconds. */
const LOOK_WAIT_MS = 1_000;
/** Pause after a look or an order that failed, in milliseconds. */
const RETRY_MS = 150;
/** The longest wait for the record of the ends that a look listed, in ms. */
const RECORD_WAIT_MS = 1_000;

/** What a link needs. */
export type WorkerLinkHost = {
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  target: WorkerTarget;
  /** Length of the lease that each look grants, in milliseconds. */
  leaseMs: number;
  /** When leases of earlier owners have surely lapsed, on the steady clock. */
  earlierLeasesLapsedAtMs(): number;
  /** Whether leases may still be granted. */
  mayGrant(): boolean;
  /** What an earlier link has acknowledged of which incarnation. */
  known: { bornMs: number; acknowledged: number };
  /** The time that looks are stamped with, on the owner's steady clock. */
  stampMs(): number;
  emit(event: DomainEvent): void;
  /** Whether an order still holds. */
  isCurrent(order: WorkerOrder): boolean;
  onFenced(cause: string): void;
  signal: AbortSignal;
};

/** A link to a worker. */
export type WorkerLink = {
  address: string;
  /** Carries out an order, however often it takes. */
  order(order: WorkerOrder): void;
  /** The store has the ends up to this number. */
  acknowledge(bornMs: number, lastEnd: number): void;
};

type State = {
  host: WorkerLinkHost;
  clock: WorkerClock;
  bornMs: number;
  /** The highest end that a look listed. */
  listedEnd: number;
  acknowledged: number;
  /** Ends the wait for the record of listed ends. */
  onAcknowledged: () => void;
  isSilent: boolean;
  isLapsed: boolean;
};

/**
 * Opens a link; it closes with the signal.
 *
 * @example
 * ```ts
 * const link = openWorkerLink(host);
 * link.order({ kind: "stop", worker, task, attempt });
 * ```
 */
export function openWorkerLink(host: WorkerLinkHost): WorkerLink {
  const state: State = {
    host,
    clock: { sample: undefined, lapsedAtMs: 0 },
    bornMs: 0,
    listedEnd: 0,
    acknowledged: 0,
    onAcknowledged: () => {},
    isSilent: false,
    isLapsed: false,
  };
  keepLooking(state);
  return {
    address: host.target.address,
    order: (order) => void carryOut(state, order),
    acknowledge(bornMs, lastEnd) {
      if (bornMs !== state.bornMs) return;
      state.acknowledged = Math.max(state.acknowledged, lastEnd);
      state.onAcknowledged();
    },
  };
}

async function keepLooking(state: State): Promise<void> {
  const { clock, signal } = state.host;
  while (!signal.aborted) {
    const isFine = await lookOnce(state);
    if (!isFine) await clock.sleep(RETRY_MS, signal);
    else if (state.listedEnd > state.acknowledged) await waitForRecord(state);
  }
}

/** Waits until the ends that were listed are recorded. */
async function waitForRecord(state: State): Promise<void> {
  const { clock, signal } = state.host;
  const waiting = new AbortController();
  const end = () => waiting.abort(NO_LONGER_NEEDED);
  state.onAcknowledged = () => {
    if (state.listedEnd <= state.acknowledged) end();
  };
  signal.addEventListener("abort", end);
  await clock.sleep(RECORD_WAIT_MS, waiting.signal);
  signal.removeEventListener("abort", end);
  state.onAcknowledged = () => {};
}

async function lookOnce(state: State): Promise<boolean> {
  const { host } = state;
  const sentAtMs = host.clock.steadyMs();
  const stampMs = host.stampMs();
  // A lease that a silent worker may or may not receive would never lapse.
  const leaseUntilMs = host.mayGrant() && !state.isSilent
    ? grantLease(state.clock, host.leaseMs, sentAtMs)
    : undefined;
  const waitMs = leaseUntilMs === undefined ? 0 : LOOK_WAIT_MS;
  const result = await host.tasks.look(host.target, {
    acknowledged: state.acknowledged,
    leaseUntilMs,
    waitMs,
  }, host.signal);
  if (host.signal.aborted) return false;
  if (result.isErr()) {
    takeFault(state, result.error);
    return false;
  }
  const { clockMs, bornMs, running, ended } = result.value;
  takeReading(state.clock, clockMs, host.clock.steadyMs());
  if (bornMs !== state.bornMs) {
    state.bornMs = bornMs;
    // Another incarnation counts its ends anew; none of them is recorded yet.
    const isKnown = bornMs === host.known.bornMs;
    state.acknowledged = isKnown ? host.known.acknowledged : 0;
    state.listedEnd = state.acknowledged;
  }
  if (state.isSilent) {
    host.logger.info("A worker answers again.", { worker: host.target.id });
  }
  state.isSilent = false;
  state.isLapsed = false;
  for (const { number } of ended) {
    state.listedEnd = Math.max(state.listedEnd, number);
  }
  host.emit({
    kind: "looked",
    worker: host.target.id,
    look: { bornMs, running, ended, sentAtMs: stampMs },
  });
  // Without a lease to grant, the worker answers at once.
  return host.mayGrant();
}

function takeFault(state: State, fault: TaskFault): void {
  const { host } = state;
  const { id } = host.target;
  host.counters.count("worker_faults", { step: fault.step, kind: fault.kind });
  switch (fault.kind) {
    case "fenced":
      return host.onFenced(fault.message);
    case "gone":
      return lapse(state, fault.message);
    case "refused":
    case "unknown":
      if (!state.isSilent) {
        state.isSilent = true;
        host.logger.warn("A worker does not answer.", {
          worker: id,
          step: fault.step,
          cause: fault.message,
          lapsesInMs: Math.round(lapsesAtMs(state) - host.clock.steadyMs()),
        });
        host.emit({ kind: "workerSilent", worker: id });
      }
      if (host.clock.steadyMs() > lapsesAtMs(state)) {
        lapse(state, fault.message);
      }
  }
}

/** When no lease of any owner can hold at the worker any more. */
function lapsesAtMs(state: State): number {
  const { clock, host } = state;
  return Math.max(clock.lapsedAtMs, host.earlierLeasesLapsedAtMs());
}

function lapse(state: State, cause: string): void {
  const { host } = state;
  if (state.isLapsed) return;
  state.isLapsed = true;
  host.logger.warn("The lease of a worker has lapsed.", {
    worker: host.target.id,
    cause,
  });
  host.emit({ kind: "workerLapsed", worker: host.target.id });
}

async function carryOut(state: State, order: WorkerOrder): Promise<void> {
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
  state: State,
  order: Extract<WorkerOrder, { kind: "start" }>,
): Promise<void> {
  const { host } = state;
  const { task, attempt } = order;
  let earlierUnknown = false;
  while (host.isCurrent(order) && !host.signal.aborted) {
    const nowMs = host.clock.steadyMs();
    const leaseUntilMs = host.mayGrant() && !state.isSilent
      ? grantLease(state.clock, host.leaseMs, nowMs)
      : undefined;
    if (leaseUntilMs === undefined) {
      await host.clock.sleep(RETRY_MS, host.signal);
      continue;
    }
    const result = await host.tasks.start(host.target, {
      task,
      attempt,
      specification: order.specification,
      leaseUntilMs,
      ticket: order.ticket,
      checkpoint: order.checkpoint,
    }, host.signal);
    if (host.signal.aborted) return;
    if (result.isOk()) {
      host.counters.observe("start_ms", host.clock.steadyMs() - nowMs);
      answerStart(state, order, result.value, earlierUnknown);
      return;
    }
    const fault = result.error;
    host.logger.warn("A start failed.", {
      task,
      attempt,
      worker: host.target.id,
      fault: fault.kind,
      cause: fault.message,
    });
    takeFault(state, fault);
    if (fault.kind === "fenced" || fault.kind === "gone") return;
    if (fault.kind === "refused") {
      const outcome = { kind: "rejected", cause: "unhealthy" } as const;
      answerStart(state, order, outcome, earlierUnknown);
      return;
    }
    earlierUnknown = true;
    await host.clock.sleep(RETRY_MS, host.signal);
  }
}

function answerStart(
  state: State,
  order: Extract<WorkerOrder, { kind: "start" }>,
  outcome: StartOutcome,
  earlierUnknown: boolean,
): void {
  const { host } = state;
  const { task, attempt } = order;
  host.counters.count("starts", { outcome: outcome.kind });
  if (outcome.kind !== "accepted") {
    host.logger.info("A worker did not take a start.", {
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
  state: State,
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
    takeFault(state, result.error);
    if (result.error.kind === "fenced" || result.error.kind === "gone") return;
    await host.clock.sleep(RETRY_MS, host.signal);
  }
}

/** A pace is ordered once; a later reading of the load corrects it. */
async function pace(
  state: State,
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
  host.logger.info("A pace did not reach a worker.", {
    task,
    worker: host.target.id,
    cause: result.error.message,
  });
}
