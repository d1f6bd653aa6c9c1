/**
 * Small fakes of the workers, in virtual time: they run what they are told,
 * and count what must never happen.
 *
 * @module
 */
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  type Resources,
  subtractResources,
  type Task,
} from "../src/model/mod.ts";
import type { BenchWorker } from "./deployment.ts";
import type { TrueTask } from "./offered_load.ts";

/** A task on a fake worker. */
export type Run = {
  task: Task;
  truth: TrueTask;
  remainingMs: number;
  startedAtMs: number;
  state: "running" | "checkpointing" | "checkpointed";
  /** Counts the stretches of the run, so that an old ending is ignored. */
  stretch: number;
};

/** A fake worker. */
export type WorkerFake = {
  worker: BenchWorker;
  runs: Map<string, Run>;
  /** What the running tasks declared. */
  declared: Resources;
  /** What the running tasks really take. */
  taken: Resources;
  running: number;
  /** Whether every task fails at once. */
  broken: boolean;
};

/** Creates a worker that runs nothing. */
export function createWorkerFake(worker: BenchWorker): WorkerFake {
  return {
    worker,
    runs: new Map(),
    declared: NO_RESOURCES,
    taken: NO_RESOURCES,
    running: 0,
    broken: false,
  };
}

/** Counts a run that begins or goes on. */
export function occupy(fake: WorkerFake, run: Run): void {
  fake.declared = addResources(fake.declared, run.task.demand);
  fake.taken = addResources(fake.taken, run.truth.peak);
  fake.running += 1;
}

/** Counts a run that ends or is checkpointed. */
export function vacate(fake: WorkerFake, run: Run): void {
  fake.declared = subtractResources(fake.declared, run.task.demand);
  fake.taken = subtractResources(fake.taken, run.truth.peak);
  fake.running -= 1;
}

/** Whether a worker was given more than it can hold. */
export function isOverCapacity({ worker, ...fake }: WorkerFake): boolean {
  const { resources, slots } = worker.capacity;
  return fake.running > slots || !fitsInto(fake.declared, resources);
}

/** Whether the tasks of a worker really take more than it has. */
export function isOverused({ worker, taken }: WorkerFake): boolean {
  return !fitsInto(taken, worker.capacity.resources);
}
