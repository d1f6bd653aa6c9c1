/**
 * Capacities of the workers in the simulation, which shrink and grow while they
 * run. The worker list shows a change after a while.
 *
 * @module
 */
import type { WorkerListing } from "../worker_listing.ts";
import { listing } from "./domain_bench.ts";
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
/** The longest time until the worker list shows a change, in milliseconds. */
const MAX_LISTING_DELAY_MS = 1_500;
/** How long after a capacity has shrunk the earlier one still counts, in ms. */
const SHRINKING_TIME_MS = 4_000 + MAX_LISTING_DELAY_MS;

/** The capacity of a worker, in tasks. */
export type SimulatedCapacity = {
  /** As the worker reports it. */
  tasks: number;
  /** As the list shows it. */
  listedTasks: number;
  /** When the list shows the last change. */
  listedAtMs: number;
  /** Earlier capacities. */
  earlier: { tasks: number; untilMs: number }[];
};

/** Creates the capacity of a worker that has not changed it yet. */
export function createCapacity(): SimulatedCapacity {
  const tasks = TASKS_PER_WORKER;
  return { tasks, listedTasks: tasks, listedAtMs: Infinity, earlier: [] };
}

/** Changes the capacity of a worker in some steps. */
export function changeSomeCapacity(
  model: Model,
  { capacity }: SimulatedWorker,
): void {
  const { random, bench } = model;
  if (random.integer(1, CHANGE_ODDS) > 1) return;
  setCapacity(model, capacity, random.integer(0, TASKS_PER_WORKER));
  capacity.listedAtMs = bench.nowMs + random.integer(0, MAX_LISTING_DELAY_MS);
}

/** Gives all workers their full capacity again, which the list shows at once. */
export function restoreCapacities(model: Model): void {
  for (const { capacity } of model.workers.values()) {
    setCapacity(model, capacity, TASKS_PER_WORKER);
    capacity.listedAtMs = model.bench.nowMs;
  }
}

function setCapacity(
  { bench }: Model,
  capacity: SimulatedCapacity,
  tasks: number,
): void {
  capacity.earlier.push({ tasks: capacity.tasks, untilMs: bench.nowMs });
  capacity.tasks = tasks;
}

/** Updates what the list shows; true if anything has changed. */
export function updateListedCapacities(model: Model): boolean {
  let hasChanged = false;
  for (const { capacity } of model.workers.values()) {
    if (capacity.listedAtMs > model.bench.nowMs) continue;
    capacity.listedTasks = capacity.tasks;
    capacity.listedAtMs = Infinity;
    hasChanged = true;
  }
  return hasChanged;
}

/** The entry of a worker in the list. */
export function listingOf(simulated: SimulatedWorker): WorkerListing {
  const { worker: { id, bornMs }, capacity: { listedTasks } } = simulated;
  const { capacity } = listing(id);
  const cpuMillis = listedTasks * TASK_DEMAND.cpuMillis;
  return listing(id, { bornMs, capacity: { ...capacity, cpuMillis } });
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
