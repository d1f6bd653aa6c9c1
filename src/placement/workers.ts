/**
 * Workers coming, going, and reporting what they run.
 *
 * @module
 */
import type { TaskRecord } from "../model/mod.ts";
import { addCheckpointed, removeCheckpointed } from "./checkpointed.ts";
import { addLeaf, removeLeaf } from "./free_index.ts";
import { unhold } from "./holds.ts";
import { learnedOf } from "./learning.ts";
import type { Placement } from "./placement.ts";
import type { PlacementEvent } from "./placement_event.ts";
import { dequeueTask } from "./queue.ts";
import { addPlaced, indexOf, refreshLeaf, removePlaced } from "./room.ts";
import { countShape } from "./shape.ts";
import type { PlacedTask } from "./task_entry.ts";
import { forgetHealth } from "./worker_health.ts";
import type { WorkerState } from "./worker_state.ts";

/** A worker that joined. */
export type JoinedWorker = Extract<PlacementEvent, { kind: "workerJoined" }>;

/**
 * Takes a worker in. Its records replace what was known of it, but for starts
 * whose answer is not known yet: those keep their room.
 */
export function joinWorker(
  placement: Placement,
  joined: JoinedWorker,
  atMs: number,
): WorkerState {
  const known = placement.workers.get(joined.worker.id);
  const pending = known === undefined ? [] : pendingStarts(known);
  if (known !== undefined) forgetWorker(placement, known);
  const worker = createWorker(joined, known?.leaving ?? false);
  worker.leaf = addLeaf(indexOf(placement, worker), worker);
  placement.workers.set(worker.id, worker);
  countShape(placement.shapes, worker.capacity, 1);
  refreshLeaf(placement, worker);
  for (const record of joined.records) {
    if (record.state === "running") takeOver(placement, worker, record, atMs);
    if (record.state === "checkpointed") {
      takeCheckpointed(placement, worker, record, atMs);
    }
  }
  for (const placed of pending) keepPending(placement, worker, placed, joined);
  return worker;
}

/** Forgets a worker with everything placed on it. */
export function forgetWorker(placement: Placement, worker: WorkerState): void {
  for (const placed of [...worker.placed.values()]) {
    removePlaced(placement, placed);
  }
  for (const entry of [...worker.checkpointed.values()]) {
    removeCheckpointed(placement, entry);
  }
  unhold(placement, worker);
  removeLeaf(indexOf(placement, worker), worker.leaf);
  placement.workers.delete(worker.id);
  placement.paused.delete(worker);
  countShape(placement.shapes, worker.capacity, -1);
  forgetHealth(placement, worker);
}

/** Counts a task that a worker runs, whoever started it. */
export function takeOver(
  placement: Placement,
  worker: WorkerState,
  record: TaskRecord,
  atMs: number,
): void {
  const { task } = record;
  const entry = placement.tasks.get(task.id);
  if (entry?.kind === "queued") dequeueTask(placement, entry);
  if (entry?.kind === "checkpointed") removeCheckpointed(placement, entry);
  const placed: PlacedTask = {
    kind: "placed",
    task,
    worker,
    learned: learnedOf(placement, task),
    reserved: task.demand,
    token: worker.token,
    confirmed: true,
    sinceMs: atMs,
    withdrawn: false,
    yielding: undefined,
    group: undefined,
  };
  addPlaced(placement, placed);
  if (entry?.kind !== "placed") placement.tasks.set(task.id, placed);
}

/** Counts a task that waits at a checkpoint, whoever started it. */
function takeCheckpointed(
  placement: Placement,
  worker: WorkerState,
  record: TaskRecord,
  atMs: number,
): void {
  const { task } = record;
  const entry = placement.tasks.get(task.id);
  if (entry?.kind === "queued") dequeueTask(placement, entry);
  if (entry === undefined || entry.kind === "queued") {
    addCheckpointed(placement, worker, task, atMs);
  }
}

function createWorker(joined: JoinedWorker, leaving: boolean): WorkerState {
  const { worker, capacity, token } = joined;
  return {
    id: worker.id,
    address: worker,
    capacity,
    token,
    free: capacity.resources,
    freeSlots: capacity.slots,
    placed: new Map(),
    checkpointed: new Map(),
    hold: undefined,
    leaving,
    reachable: true,
    stale: false,
    paused: false,
    health: { kind: "trusted", suspicion: 0 },
    leaf: -1,
  };
}

function pendingStarts(worker: WorkerState): PlacedTask[] {
  return [...worker.placed.values()].filter((placed) => !placed.confirmed);
}

/** Keeps the room of a start that the worker has no record of yet. */
function keepPending(
  placement: Placement,
  worker: WorkerState,
  placed: PlacedTask,
  joined: JoinedWorker,
): void {
  const { id } = placed.task;
  if (joined.records.some((record) => record.task.id === id)) return;
  const kept: PlacedTask = { ...placed, worker };
  addPlaced(placement, kept);
  placement.tasks.set(id, kept);
}
