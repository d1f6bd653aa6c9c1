/**
 * Reservations of capacity for steps of high rank that cannot start yet.
 * Without them, a stream of small tasks would starve large tasks and gangs by
 * taking capacity as soon as it is released. Other steps may use the rest of
 * the worker, and backfill the reserved capacity until it is needed.
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
import { allocationOf } from "./task_placement.ts";
import { estimateRemainingMs } from "./remaining_time.ts";
import type { SchedulingPass } from "./scheduling_pass.ts";
import type { TaskSlot } from "./task_slot.ts";
import type { StepRun } from "./step_run.ts";

/** Dominant share of a worker from which a task counts as large. */
const LARGE_TASK_SHARE = 0.4;
/** Maximum share of the workers with reservations. */
const MAX_RESERVED_SHARE = 0.5;
/**
 * Share of the time until reserved capacity is needed that the estimate of a
 * backfilled task may take; the rest is a margin for wrong estimates.
 */
const BACKFILL_TIME_SHARE = 0.7;

/** Capacity reserved on one worker in a scheduling pass. */
export type Reservation = {
  demand: Resources;
  /** When all of it is expected to be free, on the steady clock, in ms. */
  freeAtMs: number;
};

/** Reserves a slot for the rest of the pass. */
export function reserveSlot(
  pass: SchedulingPass,
  slot: TaskSlot,
  demand: Resources,
): void {
  const known = pass.reservations.get(slot.worker);
  pass.reservations.set(slot.worker, {
    demand: known === undefined ? demand : addResources(known.demand, demand),
    freeAtMs: Math.max(known?.freeAtMs ?? 0, slot.freeAtMs),
  });
}

/**
 * Whether a task of a step may be placed on a worker despite its reservation:
 * the reserved capacity stays free, or the task is expected to end before that
 * is needed (backfill).
 */
export function respectsReservation(
  pass: SchedulingPass,
  worker: DomainWorker,
  run: StepRun,
): boolean {
  const reservation = pass.reservations.get(worker);
  if (reservation === undefined) return true;
  const { step } = run;
  const untilNeededMs = reservation.freeAtMs - pass.moment.steadyMs;
  const isBackfill = !step.longRunning && step.estimateMs > 0 &&
    step.estimateMs <= untilNeededMs * BACKFILL_TIME_SHARE;
  if (isBackfill) return true;
  const free = expectedFreeAt(pass, worker, reservation.freeAtMs);
  return fitsInto(
    allocationOf(step),
    subtractResources(free, reservation.demand),
  );
}

/** The resources expected to be free on a worker at a time. */
function expectedFreeAt(
  pass: SchedulingPass,
  worker: DomainWorker,
  atMs: number,
): Resources {
  let free = subtractResources(worker.capacity, worker.used);
  for (const release of expectedReleases(pass, worker)) {
    if (release.freeAtMs > atMs) break;
    free = addResources(free, release.resources);
  }
  return free;
}

/**
 * Finds slots for tasks of a demand on a worker, in the order in which they
 * become free. Capacity reserved for other steps is left out.
 *
 * @param limit the maximum number of slots on this worker
 * @param horizon `now` for slots that are free at present, `later` to include
 *   those that placed tasks are expected to free
 */
export function* findSlotsOn(
  pass: SchedulingPass,
  worker: DomainWorker,
  demand: Resources,
  limit: number,
  horizon: "now" | "later" = "later",
): Generator<TaskSlot> {
  const nowMs = pass.moment.steadyMs;
  let releases: Iterator<ExpectedRelease> | undefined;
  let free = subtractResources(worker.capacity, worker.used);
  const reservation = pass.reservations.get(worker);
  if (reservation !== undefined) {
    free = subtractResources(free, reservation.demand);
  }
  let neededInTotal = demand;
  let count = 0;
  let freeAtMs = nowMs;
  let isFree = true;
  while (count < limit) {
    if (fitsInto(neededInTotal, free)) {
      yield { worker, isFree, freeAtMs };
      neededInTotal = addResources(neededInTotal, demand);
      count += 1;
      continue;
    }
    if (horizon === "now") return;
    releases ??= expectedReleases(pass, worker).values();
    const release = releases.next();
    if (release.done === true) return;
    free = addResources(free, release.value.resources);
    freeAtMs = release.value.freeAtMs;
    isFree = false;
  }
}

/** The capacity that a placed task is expected to release, and when. */
export type ExpectedRelease = { freeAtMs: number; resources: Resources };

/** The releases expected on a worker, the earliest first. */
function expectedReleases(
  pass: SchedulingPass,
  worker: DomainWorker,
): ExpectedRelease[] {
  const known = pass.releases.get(worker);
  if (known !== undefined) return known;
  const nowMs = pass.moment.steadyMs;
  const releases = [...worker.placed.values()]
    .map((ref) => ({
      freeAtMs: nowMs + estimateRemainingMs(ref, nowMs),
      resources: ref.allocated,
    }))
    .filter(({ freeAtMs }) => freeAtMs < Infinity)
    .sort((left, right) => left.freeAtMs - right.freeAtMs);
  pass.releases.set(worker, releases);
  return releases;
}

/**
 * Whether gangs of a service may reserve further capacity in this pass. Gangs
 * further back in the backlog get reservations in later passes.
 */
export function mayReserveForGang(
  pass: SchedulingPass,
  service: string,
): boolean {
  const limit = pass.workersOf(service).length * MAX_RESERVED_SHARE;
  return pass.reservations.size < limit;
}

/**
 * Whether a step needs reservations because each of its tasks takes a large
 * share of any worker that may run it.
 */
export function isLargeStep(pass: SchedulingPass, run: StepRun): boolean {
  const demand = allocationOf(run.step);
  return pass.workersOf(run.jobRun.job.policy.service).every((worker) =>
    dominantShare(demand, worker.capacity) >= LARGE_TASK_SHARE ||
    !isEligible(worker, run)
  );
}

/**
 * Reserves capacity for the waiting tasks of a large step: slots that are free
 * and only lack a ticket, then those that become free earliest. Only workers
 * that the policy has allowed are reserved.
 *
 * @returns the reserved slots, the earliest first
 */
export function reserveForLargeStep(
  pass: SchedulingPass,
  run: StepRun,
): TaskSlot[] {
  const needsAdvice = run.jobRun.job.policy.advice !== undefined;
  const demand = allocationOf(run.step);
  const workers = pass.workersOf(run.jobRun.job.policy.service).filter((
    worker,
  ) => isEligible(worker, run));
  const limit = Math.floor(workers.length * MAX_RESERVED_SHARE);
  // Steps further back in the backlog get reservations in later passes.
  if (pass.reservations.size >= limit) return [];
  const slots = workers
    .filter((worker) =>
      worker.isReachable && (!needsAdvice || run.advice.allowed.has(worker.id))
    )
    .flatMap((worker) => [
      ...findSlotsOn(
        pass,
        worker,
        demand,
        run.step.maxPerWorker ?? run.waitingCount,
      ),
    ])
    .sort((left, right) => left.freeAtMs - right.freeAtMs);
  const reserved = slots.slice(0, run.waitingCount).filter(({ worker }) =>
    pass.reservations.has(worker) || pass.reservations.size < limit
  );
  for (const slot of reserved) reserveSlot(pass, slot, demand);
  return reserved;
}

/**
 * The dominant share: the largest share that an amount takes of any resource
 * of a whole.
 */
export function dominantShare(amount: Resources, whole: Resources): number {
  return Math.max(
    amount.cpuMillis / Math.max(1, whole.cpuMillis),
    amount.memoryMb / Math.max(1, whole.memoryMb),
    amount.accelerators / Math.max(1, whole.accelerators),
  );
}
