/**
 * Gang scheduling: all tasks of a step start together or not at all.
 *
 * @module
 */
import {
  canRequestAdvice,
  hasAdvice,
  hasValidTicket,
  mayBeAllowed,
  queueAdviceRequest,
  requestLeadTimeMs,
} from "./advice_requests.ts";
import { isEligible, retryPenalty } from "./choose_worker.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { allocationOf } from "./task_placement.ts";
import { findSlotsOn, mayReserveForGang, reserveSlot } from "./reservations.ts";
import type { SchedulingPass } from "./scheduling_pass.ts";
import { reportPlacements } from "./schedule.ts";
import { startTasks } from "./start_tasks.ts";
import type { TaskSlot } from "./task_slot.ts";
import { hasRecordRoom } from "./step_limits.ts";
import { nextAttempt } from "./start_permit.ts";
import type { StepRun } from "./step_run.ts";
import { maxRunningTasks } from "./worker_health.ts";

/** Only the earliest slots are kept once there are this many for each task. */
const KEPT_SLOTS_FACTOR = 4;

/**
 * Starts a gang if there is free capacity and a valid ticket for each of its
 * tasks. Otherwise reserves the capacity that is expected to be free first, so
 * that a stream of small tasks cannot starve the gang, and requests the tickets
 * shortly before that capacity is free, so that it is not left unused while the
 * policy decides.
 */
export function placeGang(pass: SchedulingPass, run: StepRun): void {
  if (run.waitingCount < run.step.taskCount) return;
  const { service } = run.jobRun.job.policy;
  const nowMs = pass.moment.steadyMs;
  const isAdvised = hasAdvice(run);
  // It can neither start nor request advice before the pending answer.
  if (!isAdvised && !canRequestAdvice(run, nowMs)) return;
  const canReserve = isAdvised && mayReserveForGang(pass, service);
  const isFull = lacksCapacityFor(pass, run);
  if (isFull && !canReserve) {
    if (!isAdvised) queueAdviceRequest(pass, run, []);
    return;
  }
  const workers = usableWorkers(pass, run);
  const candidates = isAdvised ? workers.allowed : workers.all;
  const slots = findFreeSlots(pass, run, candidates, isFull) ??
    (canReserve ? findLaterSlots(pass, run, candidates) : undefined);
  if (slots === undefined) {
    requestFurtherWorkers(pass, run, workers.all, canReserve);
    return;
  }
  const freeAtMs = Math.max(...slots.map((slot) => slot.freeAtMs));
  const hasTickets = haveValidTickets(run, slots, Math.max(nowMs, freeAtMs));
  const isFree = slots.every((slot) => slot.isFree);
  if (isFree && hasTickets) return startGang(pass, run, slots);
  const demand = allocationOf(run.step);
  if (isAdvised) {
    for (const slot of slots) {
      reserveSlot(pass, slot, demand);
    }
  }
  if (!isFree && candidates !== workers.all) {
    // Workers that the policy has not decided on may be free now.
    const freeSlots = findFreeSlots(pass, run, workers.all, isFull);
    if (freeSlots !== undefined) {
      return queueAdviceRequest(pass, run, freeSlots);
    }
  }
  const isSoon = freeAtMs - nowMs <= requestLeadTimeMs(run, slots.length);
  if (!hasTickets && (isSoon || !isAdvised)) {
    queueAdviceRequest(pass, run, slots);
  }
}

/**
 * Returns the workers that a gang may use: `all` that are reachable, eligible
 * and not refused, and those of them that the policy has `allowed`. Workers
 * whose number of tasks is limited for health reasons are left out.
 */
function usableWorkers(
  pass: SchedulingPass,
  run: StepRun,
): { allowed: DomainWorker[]; all: DomainWorker[] } {
  const { advice, service } = run.jobRun.job.policy;
  const all = pass.workersOf(service).filter((worker) =>
    worker.isReachable && isEligible(worker, run) &&
    hasRecordRoom(run, worker, run.step.taskCount) &&
    mayBeAllowed(run, worker.id) &&
    maxRunningTasks(worker, pass.moment.steadyMs) === Infinity
  );
  const allowed = advice === undefined
    ? all
    : all.filter((worker) => run.advice.allowed.has(worker.id));
  return { allowed, all };
}

/** Whether the workers of the service have no free capacity for a gang. */
export function lacksCapacityFor(
  pass: SchedulingPass,
  run: StepRun,
): boolean {
  const { service } = run.jobRun.job.policy;
  const { taskCount } = run.step;
  const demand = allocationOf(run.step);
  const gang = { demand, count: taskCount, mayBackfill: false };
  if (pass.hasNoCapacityFor(service, gang)) return true;
  let count = 0;
  for (const worker of pass.workersOf(service)) {
    if (!worker.isReachable) continue;
    const limit = taskCount - count;
    for (const _ of findSlotsOn(pass, worker, demand, limit, "now")) count += 1;
    if (count === taskCount) return false;
  }
  pass.recordNoCapacity(service, gang);
  return true;
}

/** Requests advice for a gang that has none, without certain workers. */
export function requestFirstAdvice(pass: SchedulingPass, run: StepRun): void {
  if (hasAdvice(run) || !canRequestAdvice(run, pass.moment.steadyMs)) return;
  queueAdviceRequest(pass, run, []);
}

/**
 * Requests advice for a gang without enough slots: the policy may allow further
 * workers that it has not decided on yet.
 */
function requestFurtherWorkers(
  pass: SchedulingPass,
  run: StepRun,
  workers: DomainWorker[],
  mayLookAhead: boolean,
): void {
  if (!canRequestAdvice(run, pass.moment.steadyMs)) return;
  if (!hasAdvice(run)) return queueAdviceRequest(pass, run, []);
  const slots = findFreeSlots(pass, run, workers, false) ??
    (mayLookAhead ? findLaterSlots(pass, run, workers) : undefined);
  if (slots !== undefined) queueAdviceRequest(pass, run, slots);
}

/**
 * Finds a slot for each task of a gang that is free now, or returns undefined if
 * there are too few. A colocated gang is placed on a single rack.
 */
function findFreeSlots(
  pass: SchedulingPass,
  run: StepRun,
  workers: DomainWorker[],
  isFull: boolean,
): TaskSlot[] | undefined {
  if (isFull) return undefined;
  const slots = findAllSlots(pass, run, workers, "now");
  if (slots.length < run.step.taskCount) return undefined;
  return run.step.colocated
    ? slotsOnOneRack(pass, run, slots)
    : earliestSlots(pass, run, slots);
}

/**
 * Finds the earliest slots for the tasks of a gang, including those that are
 * free later, or returns undefined if there are too few. A colocated gang is
 * placed on a single rack if any rack has enough slots.
 */
function findLaterSlots(
  pass: SchedulingPass,
  run: StepRun,
  workers: DomainWorker[],
): TaskSlot[] | undefined {
  const slots = findAllSlots(pass, run, workers, "later");
  const onOneRack = run.step.colocated
    ? slotsOnOneRack(pass, run, slots)
    : undefined;
  return onOneRack ?? earliestSlots(pass, run, slots);
}

function findAllSlots(
  pass: SchedulingPass,
  run: StepRun,
  workers: DomainWorker[],
  horizon: "now" | "later",
): TaskSlot[] {
  const { step } = run;
  const limit = Math.min(step.maxPerWorker ?? Infinity, step.taskCount);
  const demand = allocationOf(step);
  // The racks of a colocated gang are compared first.
  const maxKept = step.colocated
    ? Infinity
    : step.taskCount * KEPT_SLOTS_FACTOR;
  let slots: TaskSlot[] = [];
  let latestMs = Infinity;
  for (const worker of workers) {
    for (const slot of findSlotsOn(pass, worker, demand, limit, horizon)) {
      if (slot.freeAtMs > latestMs) break;
      slots.push(slot);
    }
    if (slots.length < maxKept) continue;
    slots = earliestSlots(pass, run, slots) ?? slots;
    latestMs = lastFreeAtMs(slots);
  }
  return slots;
}

/** Returns the slots on the rack that can hold the whole gang earliest. */
function slotsOnOneRack(
  pass: SchedulingPass,
  run: StepRun,
  slots: TaskSlot[],
): TaskSlot[] | undefined {
  const [first] = [...groupByRack(slots).values()]
    .map((group) => earliestSlots(pass, run, group))
    .filter((group) => group !== undefined)
    .sort((left, right) => lastFreeAtMs(left) - lastFreeAtMs(right));
  return first;
}

function groupByRack(slots: TaskSlot[]): Map<string, TaskSlot[]> {
  const racks = new Map<string, TaskSlot[]>();
  for (const slot of slots) {
    const rack = slot.worker.listing?.rack ?? "";
    const group = racks.get(rack);
    if (group === undefined) racks.set(rack, [slot]);
    else group.push(slot);
  }
  return racks;
}

/**
 * Returns the slots that are free earliest, or undefined if there are fewer
 * than tasks. Ties are broken by how long ago the worker has left a start of the
 * step without an answer, by failures if the gang has failed, by a valid ticket,
 * then by low demand pressure. Then slots that are free now are taken from the workers with the fewest free
 * accelerators, and later ones from the workers with the most.
 */
function earliestSlots(
  pass: SchedulingPass,
  run: StepRun,
  slots: TaskSlot[],
): TaskSlot[] | undefined {
  const { taskCount } = run.step;
  if (slots.length < taskCount) return undefined;
  const nowMs = pass.moment.steadyMs;
  const unansweredRank = ({ worker }: TaskSlot) =>
    run.unansweredAtMs.get(worker.id) ?? 0;
  const failureRank = ({ worker }: TaskSlot) =>
    run.failedOn.size === 0 ? 0 : retryPenalty(worker, run);
  const ticketRank = ({ worker }: TaskSlot) =>
    hasValidTicket(run, worker.id, nowMs) ? 0 : 1;
  const spareCapacityRank = ({ worker, isFree }: TaskSlot) => {
    const free = worker.capacity.accelerators - worker.used.accelerators;
    return isFree ? free : -free;
  };
  return [...slots].sort((left, right) =>
    left.freeAtMs - right.freeAtMs ||
    unansweredRank(left) - unansweredRank(right) ||
    failureRank(left) - failureRank(right) ||
    ticketRank(left) - ticketRank(right) ||
    left.worker.demandPressure - right.worker.demandPressure ||
    spareCapacityRank(left) - spareCapacityRank(right)
  ).slice(0, taskCount);
}

function lastFreeAtMs(slots: TaskSlot[]): number {
  return Math.max(...slots.map(({ freeAtMs }) => freeAtMs));
}

function haveValidTickets(
  run: StepRun,
  slots: TaskSlot[],
  atMs: number,
): boolean {
  return slots.every(({ worker }) => hasValidTicket(run, worker.id, atMs));
}

/**
 * Starts all tasks of a gang under one attempt number, which is higher than
 * that of any earlier attempt.
 */
function startGang(
  pass: SchedulingPass,
  run: StepRun,
  slots: TaskSlot[],
): void {
  const { domain } = pass;
  const attempt = Math.max(
    ...run.tasks.map((task) => nextAttempt(domain, run, task)),
  );
  const placements = startTasks(
    pass,
    run,
    slots.map(({ worker }, index) => ({ index, worker, attempt })),
  );
  if (placements === undefined) return;
  reportPlacements(pass, run, placements);
  domain.waitingSteps.delete(run);
}
