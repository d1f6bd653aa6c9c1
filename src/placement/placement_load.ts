import {
  addResources,
  NO_RESOURCES,
  type Resources,
  subtractResources,
  type Task,
} from "../model/mod.ts";
import type { Placement } from "./placement.ts";
import type { Shape } from "./shape.ts";
import { isUsable } from "./room.ts";

/** What an instance tells its peers of its load. */
export type PlacementLoad = {
  queued: number;
  /** Waiting tasks by declared urgency, from 0. */
  queuedByUrgency: number[];
  /** Room on all usable workers together. */
  free: Resources;
  /** Tasks that have room on a worker. */
  running: number;
  /** How many workers of each capacity there are. */
  shapes: Shape[];
};

/**
 * Sums up a core's load for heartbeats.
 *
 * @example
 * ```ts
 * const { queued, free } = placementLoad(placement);
 * ```
 */
export function placementLoad(placement: Placement): PlacementLoad {
  let free = NO_RESOURCES;
  for (const worker of placement.workers.values()) {
    if (isUsable(worker)) free = addResources(free, worker.free);
  }
  return {
    queued: placement.queued,
    queuedByUrgency: [...placement.queuedByUrgency],
    free,
    running: placement.running,
    shapes: [...placement.shapes.values()],
  };
}

/**
 * Lists the tasks that wait for a worker.
 *
 * @example
 * ```ts
 * for (const task of queuedTasks(placement)) console.log(task.id);
 * ```
 */
export function queuedTasks(placement: Placement): Task[] {
  const tasks: Task[] = [];
  for (const entry of placement.tasks.values()) {
    if (entry.kind === "queued") tasks.push(entry.task);
  }
  return tasks;
}

/**
 * Lists the tasks that hold room on a worker, starts without an answer
 * included.
 *
 * @example
 * ```ts
 * runningTasks(placement, "worker-3").length;
 * ```
 *
 * @param worker the worker's id; an unknown one has no tasks
 */
export function runningTasks(placement: Placement, worker: string): Task[] {
  const placed = placement.workers.get(worker)?.placed.values() ?? [];
  return [...placed].map(({ task }) => task);
}

/**
 * Tells how much of a worker is held by tasks.
 *
 * @example
 * ```ts
 * const { cpuMillis } = workerUsage(placement, "worker-3");
 * ```
 *
 * @param worker the worker's id; nothing is held of an unknown one
 */
export function workerUsage(placement: Placement, worker: string): Resources {
  const state = placement.workers.get(worker);
  if (state === undefined) return NO_RESOURCES;
  return subtractResources(state.capacity.resources, state.free);
}
