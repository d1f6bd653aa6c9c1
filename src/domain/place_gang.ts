/**
 * Gang scheduling: all tasks of a step start together or not at all.
 *
 * @module
 */
import {
  hasAdvice,
  hasValidTicket,
  mayBeAllowed,
  queueAdviceRequest,
  requestLeadTimeMs,
} from "./advice_requests.ts";
import { isEligible } from "./choose_worker.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { allocationOf } from "./task_placement.ts";
import { findSlotsOn, reserveSlot } from "./reservations.ts";
import type { SchedulingPass } from "./scheduling_pass.ts";
import { reportPlacements, startTask } from "./schedule.ts";
import type { TaskSlot } from "./task_slot.ts";
import { nextAttempt } from "./start_permit.ts";
import type { StepRun } from "./step_run.ts";
import { maxRunningTasks } from "./worker_health.ts";

/**
 * Starts a gang if there is free capacity and a valid ticket for each of its
 * tasks. Otherwise reserves the capacity that is expected to be free first, so
 * that a stream of small tasks cannot starve the gang, and requests the tickets
 * shortly before that capacity is free, so that it is not left unused while the
 * policy decides.
 */
export function placeGang(pass: SchedulingPass, run: StepRun): void {
  if (run.waitingCount < run.step.taskCount) return;
  const nowMs = pass.moment.steadyMs;
  const workers = usableWorkers(pass, run);
  const isAdvised = hasAdvice(run);
  const slots = findGangSlots(
    pass,
    run,
    isAdvised ? workers.allowed : workers.all,
  );
  if (slots === undefined) {
    // The policy may allow further workers that it has not decided on yet.
    const slotsOnAnyWorker = findGangSlots(pass, run, workers.all);
    if (slotsOnAnyWorker !== undefined) {
      queueAdviceRequest(pass, run, slotsOnAnyWorker);
    }
    return;
  }
  const freeAtMs = Math.max(...slots.map((slot) => slot.freeAtMs));
  const hasTickets = haveValidTickets(run, slots, Math.max(nowMs, freeAtMs));
  if (freeAtMs <= nowMs && hasTickets) return startGang(pass, run, slots);
  const demand = allocationOf(run.step);
  if (isAdvised) {
    for (const slot of slots) {
      reserveSlot(pass, slot, demand);
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
    mayBeAllowed(run, worker.id) &&
    maxRunningTasks(worker, pass.moment.steadyMs) === Infinity
  );
  const allowed = advice === undefined
    ? all
    : all.filter((worker) => run.advice.allowed.has(worker.id));
  return { allowed, all };
}

/**
 * Finds a slot for each task of a gang, the earliest ones, or returns undefined
 * if there are too few. A colocated gang is placed on a single rack if any rack
 * has enough slots.
 */
function findGangSlots(
  pass: SchedulingPass,
  run: StepRun,
  workers: DomainWorker[],
): TaskSlot[] | undefined {
  const free = findAllSlots(pass, run, workers, "now");
  const { colocated, taskCount } = run.step;
  if (free.length >= taskCount) {
    const found = colocated
      ? slotsOnOneRack(pass, run, free)
      : earliestSlots(pass, run, free);
    if (found !== undefined) return found;
  }
  // Slots that become free later are far more expensive to compute.
  const slots = findAllSlots(pass, run, workers, "later");
  const onOneRack = colocated ? slotsOnOneRack(pass, run, slots) : undefined;
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
  const slots: TaskSlot[] = [];
  for (const worker of workers) {
    slots.push(...findSlotsOn(pass, worker, demand, limit, horizon));
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
 * than tasks. Ties are broken by a valid ticket, then by low demand pressure.
 * Then slots that are free now are taken from the workers with the fewest free
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
  const ticketRank = ({ worker }: TaskSlot) =>
    hasValidTicket(run, worker.id, nowMs) ? 0 : 1;
  const spareCapacityRank = ({ worker, freeAtMs }: TaskSlot) => {
    const free = worker.capacity.accelerators - worker.used.accelerators;
    return freeAtMs <= nowMs ? free : -free;
  };
  return [...slots].sort((left, right) =>
    left.freeAtMs - right.freeAtMs ||
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
  const placements = slots.map(({ worker }, index) =>
    startTask(pass, run, index, worker, attempt)
  );
  reportPlacements(pass, run, placements);
  domain.waitingSteps.delete(run);
}
