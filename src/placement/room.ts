/**
 * Room on workers: what tasks hold there, and the index of what is free.
 *
 * @module
 */
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "../model/mod.ts";
import { type FreeIndex, hideLeaf, setFree } from "./free_index.ts";
import type { Placement } from "./placement.ts";
import type { PlacedTask } from "./task_entry.ts";
import type { WorkerState } from "./worker_state.ts";

/** The index that holds a worker. */
export function indexOf(
  placement: Placement,
  worker: WorkerState,
): FreeIndex<WorkerState> {
  return worker.capacity.resources.accelerators > 0
    ? placement.accelerated
    : placement.plain;
}

/** The index whose workers are the first choice for a demand. */
export function indexFor(
  placement: Placement,
  demand: Resources,
): FreeIndex<WorkerState> {
  const isPlain = demand.accelerators === 0 &&
    placement.plain.leaves.length > 0;
  return isPlain ? placement.plain : placement.accelerated;
}

/** Whether a worker may be given new tasks. */
export function isUsable(worker: WorkerState): boolean {
  return !worker.leaving && worker.reachable && !worker.stale &&
    !worker.paused && worker.health.kind === "trusted";
}

/** Whether a task would fit on a worker now. */
export function hasRoom(worker: WorkerState, demand: Resources): boolean {
  return isUsable(worker) && hasSpace(worker, demand);
}

/** Whether a task would fit on a worker if the worker were usable. */
export function hasSpace(worker: WorkerState, demand: Resources): boolean {
  return worker.freeSlots >= 1 && fitsInto(demand, worker.free);
}

/** Brings a worker's leaf in line with its state. */
export function refreshLeaf(placement: Placement, worker: WorkerState): void {
  const index = indexOf(placement, worker);
  if (isUsable(worker) && worker.hold === undefined) {
    setFree(index, worker.leaf, worker.free, worker.freeSlots);
  } else {
    hideLeaf(index, worker.leaf);
  }
}

/** Takes room and a slot from a worker. */
export function takeRoom(
  placement: Placement,
  worker: WorkerState,
  demand: Resources,
): void {
  worker.free = subtractResources(worker.free, demand);
  worker.freeSlots -= 1;
  refreshLeaf(placement, worker);
}

/** Gives room and a slot back to a worker. */
export function returnRoom(
  placement: Placement,
  worker: WorkerState,
  demand: Resources,
): void {
  worker.free = addResources(worker.free, demand);
  worker.freeSlots += 1;
  refreshLeaf(placement, worker);
}

/** Puts a task on a worker and holds its room. */
export function addPlaced(placement: Placement, placed: PlacedTask): void {
  const { worker, task, reserved } = placed;
  worker.placed.set(task.id, placed);
  takeRoom(placement, worker, reserved);
  placement.running += 1;
  const used = placement.used.get(task.agreement) ?? NO_RESOURCES;
  placement.used.set(task.agreement, addResources(used, reserved));
  if (task.policy.kind === "service") countReplica(placement, placed, 1);
}

/** Takes a task off its worker and gives its room back. */
export function removePlaced(placement: Placement, placed: PlacedTask): void {
  const { worker, task, reserved } = placed;
  worker.placed.delete(task.id);
  returnRoom(placement, worker, reserved);
  placement.running -= 1;
  placement.yielding.delete(placed);
  const used = placement.used.get(task.agreement) ?? reserved;
  placement.used.set(task.agreement, subtractResources(used, reserved));
  if (task.policy.kind === "service") countReplica(placement, placed, -1);
  if (placement.tasks.get(task.id) === placed) placement.tasks.delete(task.id);
}

function countReplica(
  placement: Placement,
  placed: PlacedTask,
  change: number,
): void {
  const { requestId } = placed.task;
  const racks = placement.replicas.get(requestId) ?? new Map<string, number>();
  const rack = placed.worker.address.rack;
  const count = (racks.get(rack) ?? 0) + change;
  if (count > 0) racks.set(rack, count);
  else racks.delete(rack);
  if (racks.size > 0) placement.replicas.set(requestId, racks);
  else placement.replicas.delete(requestId);
}
