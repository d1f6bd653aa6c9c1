/**
 * Gangs: all tasks of a step start together or not at all.
 *
 * @module
 */
import {
  addResources,
  fitsInto,
  type Resources,
  subtractResources,
} from "../model/mod.ts";
import { hasTicket, mayAsk, mayBeAllowed } from "./advising.ts";
import { eligibleWorkers } from "./choose_worker.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { reservationOf } from "./placed.ts";
import { keep, leastBusyFirst, mayUse } from "./keeping.ts";
import { type Pass, startTask } from "./schedule.ts";
import type { StepRun } from "./step_run.ts";
import { runLimit } from "./worker_health.ts";

/**
 * Starts a gang if there is room for all of it. Otherwise the workers that
 * will be free first are kept from steps of lower rank, so that a stream of
 * small tasks cannot starve it.
 */
export function placeGang(pass: Pass, run: StepRun): void {
  const { domain, moment } = pass;
  if (run.waiting < run.step.taskCount) return;
  const candidates = [...eligibleWorkers(domain, run)].filter((worker) =>
    worker.held && mayUse(pass, worker, run) && mayBeAllowed(run, worker.id) &&
    runLimit(worker, moment.steadyMs) === Infinity
  );
  const seats = findSeats(
    tightestFirst(candidates, run, moment.steadyMs),
    run,
    (worker) => subtractResources(worker.capacity, worker.used),
  );
  if (seats !== undefined && haveTickets(run, seats, moment.steadyMs)) {
    startGang(pass, run, seats);
    return;
  }
  const { allowed, refused } = run.advice;
  const isUnasked = allowed.size === 0 && refused.size === 0;
  const wantsAdvice = seats !== undefined || isUnasked;
  if (wantsAdvice && mayAsk(run, moment.steadyMs)) domain.wishes.push(run);
  keepWorkers(pass, run, candidates, seats);
}

/** One worker for each member, or undefined where not all find room. */
function findSeats(
  candidates: DomainWorker[],
  run: StepRun,
  freeOf: (worker: DomainWorker) => Resources,
): DomainWorker[] | undefined {
  const { step } = run;
  if (step.colocated) {
    for (const group of byRack(candidates)) {
      const seats = seatsOn(group, run, freeOf);
      if (seats !== undefined) return seats;
    }
  }
  return seatsOn(candidates, run, freeOf);
}

function byRack(workers: DomainWorker[]): DomainWorker[][] {
  const racks = new Map<string, DomainWorker[]>();
  for (const worker of workers) {
    const rack = worker.listing?.rack ?? "";
    const group = racks.get(rack);
    if (group === undefined) racks.set(rack, [worker]);
    else group.push(worker);
  }
  return [...racks.values()];
}

function seatsOn(
  workers: DomainWorker[],
  run: StepRun,
  freeOf: (worker: DomainWorker) => Resources,
): DomainWorker[] | undefined {
  const { step } = run;
  const demand = reservationOf(step);
  const limit = step.maxPerWorker ?? Infinity;
  const seats: DomainWorker[] = [];
  for (const worker of workers) {
    let taken = demand;
    const free = freeOf(worker);
    for (let count = 0; count < limit && fitsInto(taken, free); count += 1) {
      seats.push(worker);
      if (seats.length === step.taskCount) return seats;
      taken = addResources(taken, demand);
    }
  }
  return undefined;
}

/** Workers with a valid ticket first, then those with least room to spare. */
function tightestFirst(
  workers: DomainWorker[],
  run: StepRun,
  nowMs: number,
): DomainWorker[] {
  const distance = (worker: DomainWorker) => {
    if (hasTicket(run, worker.id, nowMs)) return 0;
    return run.advice.allowed.has(worker.id) ? 1 : 2;
  };
  const freeAccelerators = (worker: DomainWorker) =>
    worker.capacity.accelerators - worker.used.accelerators;
  return [...workers].sort((left, right) =>
    distance(left) - distance(right) ||
    freeAccelerators(left) - freeAccelerators(right)
  );
}

function haveTickets(
  run: StepRun,
  seats: DomainWorker[],
  nowMs: number,
): boolean {
  return seats.every((worker) => hasTicket(run, worker.id, nowMs));
}

/** All members share one attempt number, above every earlier one. */
function startGang(pass: Pass, run: StepRun, seats: DomainWorker[]): void {
  const attempt = Math.max(...run.tasks.map((task) => task.attempt)) + 1;
  seats.forEach((worker, index) => {
    startTask(pass, run, index, worker, attempt);
  });
  pass.domain.waiting.delete(run);
}

/** Keeps the workers on which the gang can start first. */
function keepWorkers(
  pass: Pass,
  run: StepRun,
  candidates: DomainWorker[],
  seats: DomainWorker[] | undefined,
): void {
  const needsAdvice = run.job.job.policy.advice !== undefined;
  const usable = needsAdvice
    ? candidates.filter((worker) => run.advice.allowed.has(worker.id))
    : candidates;
  const kept = seats ??
    findSeats(
      leastBusyFirst(pass, usable),
      run,
      (worker) => worker.capacity,
    );
  for (const worker of kept ?? []) keep(pass, worker);
}
