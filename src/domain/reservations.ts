/**
 * Room reserved for steps of high rank that cannot start yet. Without that, a
 * stream of small tasks would take each bit of room as it comes up. Other
 * steps may use the rest of the worker, and the reserved room until it is
 * needed.
 *
 * @module
 */
import {
  addResources,
  fitsInto,
  type Resources,
  subtractResources,
} from "../model/mod.ts";
import { isEligible } from "./choose_worker.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { reservationOf } from "./placed.ts";
import { remainingMs } from "./remaining_time.ts";
import type { Pass } from "./pass.ts";
import type { Seat } from "./seat.ts";
import type { StepRun } from "./step_run.ts";

/** A task that takes this share of a worker needs reservations. */
const LARGE_SHARE = 0.4;
/** The largest part of a service's workers reserved for large tasks. */
const MAX_RESERVED_SHARE = 0.5;
/** Part of the time until the room is needed that other tasks may use. */
const BACKFILL_SHARE = 0.7;

/** What is reserved on one worker in a pass. */
export type Reservation = {
  demand: Resources;
  /** When all of it is expected to be free, on the steady clock. */
  freeAtMs: number;
};

/** Reserves the room of a seat in this pass. */
export function reserve(pass: Pass, seat: Seat, demand: Resources): void {
  const known = pass.reservations.get(seat.worker);
  pass.reservations.set(seat.worker, {
    demand: known === undefined ? demand : addResources(known.demand, demand),
    freeAtMs: Math.max(known?.freeAtMs ?? 0, seat.freeAtMs),
  });
}

/**
 * Whether a step may take room on a worker: it leaves what is reserved there,
 * or its task is expected to end before that is needed.
 */
export function mayUse(
  pass: Pass,
  worker: DomainWorker,
  run: StepRun,
): boolean {
  const reservation = pass.reservations.get(worker);
  if (reservation === undefined) return true;
  const { step } = run;
  const leftMs = reservation.freeAtMs - pass.moment.steadyMs;
  const isShort = !step.longRunning && step.estimateMs > 0 &&
    step.estimateMs <= leftMs * BACKFILL_SHARE;
  if (isShort) return true;
  const free = freeRoomAt(pass, worker, reservation.freeAtMs);
  return fitsInto(
    reservationOf(step),
    subtractResources(free, reservation.demand),
  );
}

/** The room that is expected to be free on a worker at a time. */
function freeRoomAt(
  pass: Pass,
  worker: DomainWorker,
  atMs: number,
): Resources {
  const nowMs = pass.moment.steadyMs;
  let free = subtractResources(worker.capacity, worker.used);
  for (const ref of worker.placed.values()) {
    if (nowMs + remainingMs(ref, nowMs) > atMs) continue;
    free = addResources(free, ref.reserved);
  }
  return free;
}

/**
 * The seats for tasks of one demand on a worker, in the order in which they
 * become free. What is reserved for other steps is left out.
 *
 * @param limit the most seats on this worker
 * @param horizon whether seats that become free later count too
 */
export function* seatsOf(
  pass: Pass,
  worker: DomainWorker,
  demand: Resources,
  limit: number,
  horizon: "now" | "later" = "later",
): Generator<Seat> {
  const nowMs = pass.moment.steadyMs;
  let releases: Release[] | undefined;
  let free = subtractResources(worker.capacity, worker.used);
  const reservation = pass.reservations.get(worker);
  if (reservation !== undefined) {
    free = subtractResources(free, reservation.demand);
  }
  let taken = demand;
  let count = 0;
  let freeAtMs = nowMs;
  while (count < limit) {
    if (fitsInto(taken, free)) {
      yield { worker, freeAtMs };
      taken = addResources(taken, demand);
      count += 1;
      continue;
    }
    if (horizon === "now") return;
    releases ??= releasesOf(worker, nowMs);
    const release = releases.shift();
    if (release === undefined) return;
    free = addResources(free, release.room);
    freeAtMs = release.freeAtMs;
  }
}

/** Room on a worker that a placed task is expected to free. */
type Release = { freeAtMs: number; room: Resources };

/** What the tasks of a worker are expected to free, the first one first. */
function releasesOf(worker: DomainWorker, nowMs: number): Release[] {
  return [...worker.placed.values()]
    .map((ref) => ({
      freeAtMs: nowMs + remainingMs(ref, nowMs),
      room: ref.reserved,
    }))
    .filter(({ freeAtMs }) => freeAtMs < Infinity)
    .sort((left, right) => left.freeAtMs - right.freeAtMs);
}

/** Whether a task of the step takes so much that room has to be reserved. */
export function isLarge(pass: Pass, run: StepRun): boolean {
  const demand = reservationOf(run.step);
  return pass.workersOf(run.jobRun.job.policy.service).every((worker) =>
    dominantShare(demand, worker.capacity) >= LARGE_SHARE ||
    !isEligible(worker, run)
  );
}

/**
 * Reserves room for the waiting tasks of a large step: where it is free and
 * only the ticket is missing, then where it will be free first. Only workers
 * that the policy is known to allow are reserved.
 *
 * @returns the seats that were reserved, the first to be free first
 */
export function reserveForLarge(pass: Pass, run: StepRun): Seat[] {
  const needsAdvice = run.jobRun.job.policy.advice !== undefined;
  const demand = reservationOf(run.step);
  const workers = pass.workersOf(run.jobRun.job.policy.service).filter((
    worker,
  ) => isEligible(worker, run));
  const limit = Math.floor(workers.length * MAX_RESERVED_SHARE);
  // What comes later in a backlog gets its room once this one has run.
  if (pass.reservations.size >= limit) return [];
  const seats = workers
    .filter((worker) =>
      worker.isReachable && (!needsAdvice || run.advice.allowed.has(worker.id))
    )
    .flatMap((worker) => [
      ...seatsOf(
        pass,
        worker,
        demand,
        run.step.maxPerWorker ?? run.waitingCount,
      ),
    ])
    .sort((left, right) => left.freeAtMs - right.freeAtMs);
  const reserved = seats.slice(0, run.waitingCount).filter(({ worker }) =>
    pass.reservations.has(worker) || pass.reservations.size < limit
  );
  for (const seat of reserved) reserve(pass, seat, demand);
  return reserved;
}

/** The largest share that an amount takes of any resource. */
export function dominantShare(amount: Resources, whole: Resources): number {
  return Math.max(
    amount.cpuMillis / Math.max(1, whole.cpuMillis),
    amount.memoryMb / Math.max(1, whole.memoryMb),
    amount.accelerators / Math.max(1, whole.accelerators),
  );
}
