/**
 * Capacities of the workers in the simulation, which shrink and grow while they
 * run, and differ between their incarnations.
 *
 * @module
 */
import { MAX_LISTING_DELAY_MS, writeEntry } from "./owner_model_listing.ts";
import type { Model, SimulatedWorker } from "./owner_model_state.ts";

/** For how many tasks the largest worker has capacity. */
export const TASKS_PER_WORKER = 4;
/** Resources that each task of the simulation takes. */
export const TASK_DEMAND = {
  cpuMillis: 2_000,
  memoryMb: 1_000,
  accelerators: 0,
};
/** One in this many steps changes the capacity of a worker. */
const CHANGE_ODDS = 10;
/** How long after a capacity has shrunk the earlier one still counts, in ms. */
const SHRINKING_TIME_MS = 4_000 + MAX_LISTING_DELAY_MS;

/** The capacity of a worker, in tasks. */
export type SimulatedCapacity = {
  tasks: number;
  /** Earlier capacities. */
  earlier: { tasks: number; untilMs: number }[];
};

/** Creates the capacity of a worker that has not changed it yet. */
export function createCapacity(): SimulatedCapacity {
  return { tasks: TASKS_PER_WORKER, earlier: [] };
}

/** Changes the capacity of a worker in some steps. */
export function changeSomeCapacity(
  model: Model,
  simulated: SimulatedWorker,
): void {
  const { random } = model;
  if (random.integer(1, CHANGE_ODDS) > 1) return;
  setCapacity(model, simulated, random.integer(0, TASKS_PER_WORKER));
  writeEntry(model, simulated, random.integer(0, MAX_LISTING_DELAY_MS));
}

/** Draws the capacity of a new incarnation; after the faults, it is full. */
export function drawCapacity(
  { random, isRecovering, hasChangingKinds }: Model,
  former: SimulatedCapacity,
): SimulatedCapacity {
  if (!hasChangingKinds) return former;
  const isFull = isRecovering || random.integer(0, 1) === 0;
  const tasks = isFull ? TASKS_PER_WORKER : random.integer(0, TASKS_PER_WORKER);
  return { tasks, earlier: [] };
}

/** Gives all workers their full capacity again, which the list shows at once. */
export function restoreCapacities(model: Model): void {
  for (const simulated of model.workers.values()) {
    setCapacity(model, simulated, TASKS_PER_WORKER);
    writeEntry(model, simulated, 0);
  }
}

function setCapacity(
  { bench }: Model,
  { capacity }: SimulatedWorker,
  tasks: number,
): void {
  capacity.earlier.push({ tasks: capacity.tasks, untilMs: bench.nowMs });
  capacity.tasks = tasks;
}

/** Checks that a start has not brought a worker over its capacity. */
export function* checkCapacity(
  { bench }: Model,
  { worker, capacity: { tasks, earlier } }: SimulatedWorker,
): Generator<string> {
  const counting = earlier.filter(({ untilMs }) =>
    bench.nowMs < untilMs + SHRINKING_TIME_MS
  );
  const limit = Math.max(tasks, ...counting.map((known) => known.tasks));
  const count = worker.running.size;
  if (count <= limit) return;
  yield `${worker.id} runs ${count} tasks and has capacity for ${limit}`;
}
