/**
 * Ownership of one worker: acquires its lease when this instance should own
 * it, and renews it for as long as it does.
 *
 * @module
 */
import * as v from "valibot";
import {
  acknowledgeBars,
  barHolder,
  barsFor,
  desiredOwner,
  type Holder,
  isConfirmedSince,
  isShared,
  markUsed,
  memberState,
} from "../membership/mod.ts";
import type { CurrentLease, Fault } from "../hosts/mod.ts";
import type { Acquisition, Renewal } from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import type { HeldWorker } from "./held_worker.ts";
import {
  loseWorker,
  setReachable,
  takeRecord,
  takeWorker,
} from "./held_workers.ts";
import { applyPlacement } from "./placement_driver.ts";
import {
  isSelf,
  type KnownWorker,
  note,
  type Scheduler,
  selfHolder,
} from "./scheduler.ts";
import { isFenced } from "./start_flow.ts";
import { OWNERSHIP_TOPIC } from "./topics.ts";
import { observe, takeUsage } from "./usage_flow.ts";
import { acquireWorker, renewWorker, sleep, waitForNotice } from "./waits.ts";

/** The most that the clocks of a worker and an instance differ by. */
const CLOCK_ALLOWANCE_MS = 2_000;
/** How often it is looked whether a new worker may be used. */
const TRUST_POLL_MS = 100;
/** How often ownership is looked at when nothing changes. */
const OWNERSHIP_POLL_MS = 500;
/** Delay before a failed renewal is sent again. */
const RENEW_RETRY_MS = 250;
/** First delay before a worker is taken back from a live peer. */
const FIRST_CONTEST_DELAY_MS = 1_000;
/** Longest delay before a worker is taken back from a live peer. */
const MAX_CONTEST_DELAY_MS = 30_000;
/** How long a worker that cannot be reached is left to the peers. */
const UNREACHABLE_MS = 5_000;

const currentLeaseSchema = v.object({
  token: v.number(),
  holder: v.string(),
  lapsed: v.boolean(),
});

/** Owns a worker whenever it should, until the worker leaves the list. */
export function* ownWorker(
  scheduler: Scheduler,
  worker: string,
): Flow<void> {
  let expectedToken = 0;
  let contestDelayMs = FIRST_CONTEST_DELAY_MS;
  let wasFenced = false;
  while (true) {
    const known = scheduler.workers.get(worker);
    if (known === undefined) return;
    if (!shouldOwn(scheduler, known)) {
      yield* waitForNotice(OWNERSHIP_TOPIC, OWNERSHIP_POLL_MS);
      continue;
    }
    const holder = selfHolder(scheduler);
    const sentAtMs = scheduler.moment.steadyMs;
    const barred = barsFor(scheduler.membership, worker);
    const command = { holder, expectedToken, barred };
    const result = yield* acquireWorker(known.address, command);
    if (result.isErr()) {
      const current = currentLeaseOf(result.error);
      if (current === undefined) {
        yield* leaveToPeers(scheduler, worker);
        continue;
      }
      expectedToken = current.token;
      if (current.token > 0) markUsed(scheduler.membership, worker);
      if (wasFenced && isLiveLease(scheduler, current)) {
        // Two views differ: the worker must not go back and forth.
        yield* sleep(contestDelayMs);
        contestDelayMs = Math.min(contestDelayMs * 2, MAX_CONTEST_DELAY_MS);
        wasFenced = false;
      }
      continue;
    }
    expectedToken = result.value.token;
    takeBars(scheduler, known, result.value.barred);
    if (holder !== selfHolder(scheduler)) continue;
    if (!(yield* isTrusted(scheduler, worker, result.value))) {
      yield* leaveToPeers(scheduler, worker);
      continue;
    }
    if (holder !== selfHolder(scheduler)) continue;
    const held = takeWorker(scheduler, known, result.value, holder, sentAtMs);
    acknowledgeBars(scheduler.membership, worker, barred);
    const tookAtMs = scheduler.moment.steadyMs;
    yield* renewUntilLost(scheduler, held);
    wasFenced = true;
    const heldMs = scheduler.moment.steadyMs - tookAtMs;
    if (heldMs > MAX_CONTEST_DELAY_MS) contestDelayMs = FIRST_CONTEST_DELAY_MS;
  }
}

/**
 * Waits until a worker that has started anew may be used. It has forgotten its
 * bars, and this incarnation may have been barred without having heard of it.
 */
function* isTrusted(
  scheduler: Scheduler,
  worker: string,
  acquisition: Acquisition,
): Flow<boolean> {
  if (acquisition.rememberedSinceMs < barredSinceMs(scheduler)) return true;
  const acquiredAtMs = scheduler.moment.steadyMs;
  const untilMs = acquiredAtMs + acquisition.leaseMs / 2;
  while (scheduler.moment.steadyMs < untilMs) {
    const { membership } = scheduler;
    if (isConfirmedSince(membership, worker, acquiredAtMs)) return true;
    yield* sleep(TRUST_POLL_MS);
  }
  return false;
}

/**
 * Returns from when on this incarnation can have been barred: it must have
 * been silent for a while. A worker that remembers further back forgot none.
 */
function barredSinceMs(scheduler: Scheduler): number {
  const { deadAfterMs } = scheduler.options;
  const silentMs = Math.max(0, deadAfterMs - CLOCK_ALLOWANCE_MS);
  return scheduler.incarnatedAtMs + silentMs;
}

/** Renews a lease until it is lost, and takes in what the worker tells. */
function* renewUntilLost(
  scheduler: Scheduler,
  held: HeldWorker,
): Flow<void> {
  const worker = held.address.id;
  while (isCurrent(scheduler, held)) {
    const sentAtMs = scheduler.moment.steadyMs;
    const barred = barsFor(scheduler.membership, worker);
    const result = yield* renewWorker(held.address, {
      token: held.token,
      afterEvent: held.lastEvent,
      waitMs: scheduler.options.renewWaitMs,
      barred,
    });
    if (!isCurrent(scheduler, held)) return;
    if (result.isOk()) {
      takeRenewal(scheduler, held, result.value, sentAtMs, barred);
      continue;
    }
    if (isFenced(result.error)) {
      loseWorker(scheduler, held, "fenced");
      return;
    }
    setReachable(scheduler, held, false);
    const nowMs = scheduler.moment.steadyMs;
    if (result.error.kind === "unknown") {
      held.lapsesAtMs = nowMs + held.leaseMs;
    }
    if (nowMs >= held.validUntilMs) {
      loseWorker(scheduler, held, "lapsed");
      yield* leaveToPeers(scheduler, worker);
      return;
    }
    yield* sleep(RENEW_RETRY_MS);
  }
}

/**
 * Tells whether the lease is still ours; gives it up where this instance has
 * a new incarnation or the worker left the list.
 */
function isCurrent(scheduler: Scheduler, held: HeldWorker): boolean {
  if (scheduler.held.get(held.address.id) !== held) return false;
  if (!scheduler.workers.has(held.address.id)) {
    loseWorker(scheduler, held, "lapsed");
    return false;
  }
  if (held.holder === selfHolder(scheduler)) return true;
  loseWorker(scheduler, held, "fenced");
  return false;
}

function takeRenewal(
  scheduler: Scheduler,
  held: HeldWorker,
  renewal: Renewal,
  sentAtMs: number,
  barred: string[],
): void {
  const worker = held.address.id;
  held.leaseMs = renewal.leaseMs;
  observe(scheduler, held, sentAtMs);
  held.validUntilMs = sentAtMs + renewal.leaseMs;
  held.lapsesAtMs = scheduler.moment.steadyMs + renewal.leaseMs;
  setReachable(scheduler, held, true);
  acknowledgeBars(scheduler.membership, worker, barred);
  held.lastEvent = renewal.lastEvent;
  for (const record of renewal.changed) takeRecord(scheduler, held, record);
  for (const usage of renewal.usage) takeUsage(scheduler, usage);
  if (!renewal.leaving || held.leaving) return;
  held.leaving = true;
  note(scheduler, "worker.leaving", worker);
  applyPlacement(scheduler, { kind: "workerLeaving", worker });
}

function shouldOwn(scheduler: Scheduler, known: KnownWorker): boolean {
  if (scheduler.draining) return false;
  const worker = known.address.id;
  if (known.address.zone !== scheduler.self.zone) return false;
  if (scheduler.unreachable.has(worker)) return false;
  if (!isShared(scheduler.membership, worker)) return false;
  const owner = desiredOwner(scheduler.membership, known.address);
  return owner?.id === scheduler.self.id;
}

/** A worker hands its bars on, also those that only a lost peer knew. */
function takeBars(
  scheduler: Scheduler,
  known: KnownWorker,
  barred: Holder[],
): void {
  for (const holder of barred) {
    barHolder(scheduler.membership, holder, known.address.zone);
  }
}

/** Tells whether a live peer holds the worker under a lease that lasts. */
function isLiveLease(scheduler: Scheduler, current: CurrentLease): boolean {
  if (current.lapsed || current.holder === "") return false;
  if (isSelf(scheduler, current.holder)) return false;
  return memberState(scheduler.membership, current.holder) !== "barred";
}

function* leaveToPeers(scheduler: Scheduler, worker: string): Flow<void> {
  scheduler.unreachable.add(worker);
  note(scheduler, "worker.unreachable", worker);
  yield* sleep(UNREACHABLE_MS);
  scheduler.unreachable.delete(worker);
}

function currentLeaseOf(fault: Fault): CurrentLease | undefined {
  if (fault.kind !== "refused") return undefined;
  const parsed = v.safeParse(currentLeaseSchema, fault.data);
  return parsed.success ? parsed.output : undefined;
}
