/**
 * What the core has learned, applied to tasks.
 *
 * @module
 */
import {
  fitsInto,
  NO_RESOURCES,
  type Resources,
  type Task,
  type TaskRecord,
} from "../model/mod.ts";
import {
  createLearnedKind,
  expectedRunMs,
  heldFor,
  isLarger,
  type LearnedKind,
  learnFrom,
} from "./learned_kind.ts";
import type { Placement } from "./placement.ts";
import type { PlacedTask } from "./task_entry.ts";

/** A task with what is learned of its kind. */
export type Learner = { task: Task; learned: LearnedKind };

/** Learns from a record of a task that ended. */
export function learn(placement: Placement, record: TaskRecord): void {
  learnFrom(learnedOf(placement, record.task), record);
}

/** What to hold for a task on a worker. */
export function demandOf(
  placement: Placement,
  { task, learned }: Learner,
): Resources {
  if (!isLarger(learned)) return task.demand;
  return heldFor(learned, task.demand, largestFor(placement, task.demand));
}

/** When a placed task is expected to end, in milliseconds. */
export function expectedEndMs(placed: PlacedTask, atMs: number): number {
  const endMs = placed.sinceMs + expectedMs(placed);
  // A task past its time may well run as long again as it is late.
  return endMs > atMs ? endMs : atMs + (atMs - endMs);
}

/** How long a task is expected to run, in milliseconds. */
export function expectedMs({ task, learned }: Learner): number {
  return expectedRunMs(learned, task);
}

/** What is learned of a task's kind, kept from the first task on. */
export function learnedOf(placement: Placement, task: Task): LearnedKind {
  const { agreement, work } = task;
  const kinds = placement.learned.get(agreement) ?? new Map();
  placement.learned.set(agreement, kinds);
  const kind: LearnedKind = kinds.get(work) ?? createLearnedKind();
  kinds.set(work, kind);
  return kind;
}

/** Names a kind of work within its agreement. */
export function kindOf(task: Task): string {
  return `${task.agreement}/${task.work}`;
}

/** The largest capacity here that holds what a task declares. */
function largestFor(placement: Placement, demand: Resources): Resources {
  let largest = NO_RESOURCES;
  for (const { resources } of placement.shapes.values()) {
    if (!fitsInto(demand, resources)) continue;
    if (resources.cpuMillis > largest.cpuMillis) largest = resources;
  }
  return largest;
}
