/**
 * Gangs: all tasks of a step start together or not at all.
 *
 * @module
 */
import {
  askFor,
  hasTicket,
  isDecided,
  mayBeAllowed,
  questionMs,
} from "./advising.ts";
import { isEligible } from "./choose_worker.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { reservationOf } from "./placed.ts";
import { reserve, seatsOf } from "./reservations.ts";
import type { Pass } from "./pass.ts";
import { reportPlacements, startTask } from "./schedule.ts";
import type { Seat } from "./seat.ts";
import type { StepRun } from "./step_run.ts";
import { runLimit } from "./worker_health.ts";

/**
 * Starts a gang if there is room for all of it. Otherwise the room that will
 * be free first is reserved, so that a stream of small tasks cannot starve
 * the gang, and the tickets are asked for shortly before it is free, so that
 * no room stands idle while the policy decides.
 */
export function placeGang(pass: Pass, run: StepRun): void {
  if (run.waitingCount < run.step.taskCount) return;
  const nowMs = pass.moment.steadyMs;
  const workers = usableWorkers(pass, run);
  const isAsked = isDecided(run);
  const seats = findSeats(pass, run, isAsked ? workers.allowed : workers.all);
  if (seats === undefined) {
    // The policy may allow more workers than it was asked about.
    const more = findSeats(pass, run, workers.all);
    if (more !== undefined) askFor(pass, run, more);
    return;
  }
  const freeAtMs = Math.max(...seats.map((seat) => seat.freeAtMs));
  const hasTickets = haveTickets(run, seats, Math.max(nowMs, freeAtMs));
  if (freeAtMs <= nowMs && hasTickets) return startGang(pass, run, seats);
  const demand = reservationOf(run.step);
  if (isAsked) { for (const seat of seats) reserve(pass, seat, demand); }
  const isSoon = freeAtMs - nowMs <= questionMs(run, seats.length);
  if (!hasTickets && (isSoon || !isAsked)) askFor(pass, run, seats);
}

/** Workers that a gang may use: those known to be allowed, and all others. */
function usableWorkers(
  pass: Pass,
  run: StepRun,
): { allowed: DomainWorker[]; all: DomainWorker[] } {
  const { advice, service } = run.jobRun.job.policy;
  const all = pass.workersOf(service).filter((worker) =>
    worker.isReachable && isEligible(worker, run) &&
    mayBeAllowed(run, worker.id) &&
    runLimit(worker, pass.moment.steadyMs) === Infinity
  );
  const allowed = advice === undefined
    ? all
    : all.filter((worker) => run.advice.allowed.has(worker.id));
  return { allowed, all };
}

/**
 * A seat for each member, those that are free first, or undefined where not
 * all find one. A gang that is slowed down by distance gets one rack if any
 * rack has enough seats.
 */
function findSeats(
  pass: Pass,
  run: StepRun,
  workers: DomainWorker[],
): Seat[] | undefined {
  const free = allSeats(pass, run, workers, "now");
  const { colocated, taskCount } = run.step;
  if (free.length >= taskCount) {
    const found = colocated
      ? seatsOnOneRack(pass, run, free)
      : firstSeats(pass, run, free);
    if (found !== undefined) return found;
  }
  // When room will be free takes far longer to work out.
  const seats = allSeats(pass, run, workers, "later");
  const onOneRack = colocated ? seatsOnOneRack(pass, run, seats) : undefined;
  return onOneRack ?? firstSeats(pass, run, seats);
}

function allSeats(
  pass: Pass,
  run: StepRun,
  workers: DomainWorker[],
  horizon: "now" | "later",
): Seat[] {
  const { step } = run;
  const limit = Math.min(step.maxPerWorker ?? Infinity, step.taskCount);
  const demand = reservationOf(step);
  const seats: Seat[] = [];
  for (const worker of workers) {
    seats.push(...seatsOf(pass, worker, demand, limit, horizon));
  }
  return seats;
}

/** Seats on the rack that has enough of them first. */
function seatsOnOneRack(
  pass: Pass,
  run: StepRun,
  seats: Seat[],
): Seat[] | undefined {
  const [first] = [...byRack(seats).values()]
    .map((group) => firstSeats(pass, run, group))
    .filter((group) => group !== undefined)
    .sort((left, right) => lastFreeAt(left) - lastFreeAt(right));
  return first;
}

function byRack(seats: Seat[]): Map<string, Seat[]> {
  const racks = new Map<string, Seat[]>();
  for (const seat of seats) {
    const rack = seat.worker.listing?.rack ?? "";
    const group = racks.get(rack);
    if (group === undefined) racks.set(rack, [seat]);
    else group.push(seat);
  }
  return racks;
}

/**
 * The seats that are free first; among equal ones those with a ticket. Of
 * seats that are free now, those on workers with the least room to spare come
 * first, of others those on workers that have freed the most of it.
 */
function firstSeats(
  pass: Pass,
  run: StepRun,
  seats: Seat[],
): Seat[] | undefined {
  const { taskCount } = run.step;
  if (seats.length < taskCount) return undefined;
  const nowMs = pass.moment.steadyMs;
  const distance = ({ worker }: Seat) =>
    hasTicket(run, worker.id, nowMs) ? 0 : 1;
  const spare = ({ worker, freeAtMs }: Seat) => {
    const free = worker.capacity.accelerators - worker.used.accelerators;
    return freeAtMs <= nowMs ? free : -free;
  };
  return [...seats].sort((left, right) =>
    left.freeAtMs - right.freeAtMs ||
    distance(left) - distance(right) ||
    left.worker.demandPressure - right.worker.demandPressure ||
    spare(left) - spare(right)
  ).slice(0, taskCount);
}

function lastFreeAt(seats: Seat[]): number {
  return Math.max(...seats.map(({ freeAtMs }) => freeAtMs));
}

function haveTickets(run: StepRun, seats: Seat[], atMs: number): boolean {
  return seats.every(({ worker }) => hasTicket(run, worker.id, atMs));
}

/** All members share one attempt number, above every earlier one. */
function startGang(pass: Pass, run: StepRun, seats: Seat[]): void {
  const attempt = Math.max(...run.tasks.map((task) => task.attempt)) + 1;
  const placements = seats.map(({ worker }, index) =>
    startTask(pass, run, index, worker, attempt)
  );
  reportPlacements(pass, run, placements);
  pass.domain.waitingSteps.delete(run);
}
