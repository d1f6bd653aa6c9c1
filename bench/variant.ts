/**
 * The columns of the tables: the core with both settings, the baselines, and
 * the ideal bound.
 *
 * @module
 */
import type { Randomness } from "../src/hosts/mod.ts";
import { addResources, NO_RESOURCES } from "../src/model/mod.ts";
import { createBaseline } from "./baseline.ts";
import { createCoreScheduler } from "./core_scheduler.ts";
import type { BenchWorker, Deployment } from "./deployment.ts";
import type { LoadRunOptions } from "./load_run.ts";
import { createRandomness } from "./random.ts";
import type { Scheduler } from "./scheduler.ts";

/** One column of a table. */
export type Variant = {
  name: string;
  /** Whether all workers of a pool are one, and all sizes are true. */
  isBound: boolean;
  createScheduler(randomness: Randomness): Scheduler;
};

/** This version, weighing waiting most. */
export const waitingCore: Variant = {
  name: "core, waiting",
  isBound: false,
  createScheduler: (randomness) => createCoreScheduler("waiting", randomness),
};

/** This version, weighing control cost and packing most. */
export const costCore: Variant = {
  name: "core, cost",
  isBound: false,
  createScheduler: (randomness) => createCoreScheduler("cost", randomness),
};

/** The schedulers to compare with. */
export const baselines: Variant[] = [
  "random fit" as const,
  "first fit" as const,
  "least loaded" as const,
  "first come" as const,
].map((name) => ({
  name,
  isBound: false,
  createScheduler: (randomness) => createBaseline(name, randomness),
}));

/**
 * The ideal bound: the work's own size over the capacity. Each pool is one
 * worker, sizes are known, control takes no time, nothing fails.
 */
export const idealBound: Variant = {
  name: "ideal bound",
  isBound: true,
  createScheduler: (randomness) => createBaseline("by urgency", randomness),
};

/** All columns. */
export const variants = [waitingCore, costCore, ...baselines, idealBound];

/** The options of a load run of one variant. */
export function loadRunOptions(
  variant: Variant,
  deployment: Deployment,
  load: number,
  seed: number,
): LoadRunOptions {
  const { isBound, createScheduler } = variant;
  return {
    deployment: isBound ? pooled(deployment) : deployment,
    load,
    seed,
    brokenWorkers: !isBound,
    cancellations: true,
    trueSizes: isBound,
    oneWayMs: isBound ? 0 : 1,
    createScheduler,
    createRandomness,
  };
}

/** The deployment with one worker for each pool. */
export function pooled(deployment: Deployment): Deployment {
  const isAccelerated = ({ capacity }: BenchWorker) =>
    capacity.resources.accelerators > 0;
  const pools = [
    deployment.workers.filter((worker) => !isAccelerated(worker)),
    deployment.workers.filter(isAccelerated),
  ];
  return { ...deployment, workers: pools.map(sum) };
}

function sum(workers: BenchWorker[]): BenchWorker {
  const { address, capacity: { connections } } = workers[0]!;
  const resources = workers.reduce(
    (total, { capacity }) => addResources(total, capacity.resources),
    NO_RESOURCES,
  );
  const slots = workers.reduce((n, { capacity }) => n + capacity.slots, 0);
  return { address, capacity: { resources, slots, connections } };
}
