/**
 * The requests that a deployment's callers send, and what they really take.
 *
 * @module
 */
import type { Randomness } from "../src/hosts/mod.ts";
import type { Request, Resources, Task } from "../src/model/mod.ts";
import type { Deployment, Work } from "./deployment.ts";
import { errorFactor, exponential } from "./random.ts";

/** How far a kind's declared sizes and run times are off, either way. */
const KIND_ERROR = 2;
/** How far a task is off besides, either way. */
const TASK_ERROR = 2;
/** Mean of a factor that is log-uniform from 1/2 to 2. */
const MEAN_TASK_ERROR = 1.5 / (2 * Math.LN2);

/** A kind of work with what is true of it. */
export type WorkStream = {
  work: Work;
  sizeError: number;
  timeError: number;
  /** Mean time between two requests, in milliseconds. */
  everyMs: number;
};

/** What a task really takes. */
export type TrueTask = { runMs: number; peak: Resources };

/** Builds the streams of a deployment for an offered load, such as 0.8. */
export function createStreams(
  deployment: Deployment,
  load: number,
  randomness: Randomness,
): WorkStream[] {
  return deployment.work.map((work) => {
    const sizeError = errorFactor(randomness, KIND_ERROR);
    const timeError = errorFactor(randomness, KIND_ERROR);
    const runMs = work.durationMs * timeError * MEAN_TASK_ERROR;
    const part = dominantPart(deployment, work, sizeError);
    const everyMs = runMs * work.tasks * part / (load * work.part);
    return { work, sizeError, timeError, everyMs };
  });
}

/** The time until a stream's next request, in milliseconds. */
export function timeToNext(
  stream: WorkStream,
  randomness: Randomness,
): number {
  return exponential(randomness, stream.everyMs);
}

/** Builds a stream's next request. */
export function createRequest(
  stream: WorkStream,
  number: number,
  atMs: number,
  randomness: Randomness,
): Request {
  const { work } = stream;
  const owner = randomness.integer(0, work.agreements - 1);
  const common = {
    customer: `${work.name}-${owner}`,
    agreement: `${work.name}-${owner}`,
    work: work.name,
  };
  const id = `${work.name}-${number}`;
  const tasks = Array.from({ length: work.tasks }, (_, index): Task => ({
    ...common,
    id: `${id}/${index}`,
    requestId: id,
    index,
    count: work.tasks,
    attempt: 1,
    policy: work.policy,
    urgency: work.urgency,
    idempotent: work.idempotent,
    demand: work.demand,
    durationMs: work.durationMs,
    payload: undefined,
  }));
  return {
    ...common,
    id,
    digest: id,
    durable: false,
    acceptedAtMs: atMs,
    tasks,
  };
}

/** Draws what one task of a stream really takes. */
export function drawTrueTask(
  stream: WorkStream,
  randomness: Randomness,
): TrueTask {
  const { work, sizeError, timeError } = stream;
  const size = sizeError * errorFactor(randomness, TASK_ERROR);
  const time = timeError * errorFactor(randomness, TASK_ERROR);
  return {
    runMs: Math.max(1, work.durationMs * time),
    peak: {
      cpuMillis: Math.round(work.demand.cpuMillis * size),
      memoryMb: Math.round(work.demand.memoryMb * size),
      accelerators: work.demand.accelerators,
    },
  };
}

/** The part of its pool that one task takes, by its dominant resource. */
function dominantPart(
  deployment: Deployment,
  work: Work,
  sizeError: number,
): number {
  const pool = poolOf(deployment, work.demand.accelerators > 0);
  const size = sizeError * MEAN_TASK_ERROR;
  return Math.max(
    work.demand.cpuMillis * size / pool.cpuMillis,
    work.demand.memoryMb * size / pool.memoryMb,
    work.demand.accelerators / (pool.accelerators || 1),
    1 / pool.slots,
  );
}

type Pool = Resources & { slots: number };

/** The capacity that work of one group has, without that of services. */
function poolOf(deployment: Deployment, accelerated: boolean): Pool {
  const pool = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };
  for (const { capacity: { resources, slots } } of deployment.workers) {
    if ((resources.accelerators > 0) !== accelerated) continue;
    pool.cpuMillis += resources.cpuMillis;
    pool.memoryMb += resources.memoryMb;
    pool.accelerators += resources.accelerators;
    pool.slots += slots;
  }
  if (accelerated) return pool;
  const { count, replicas, demand } = deployment.services;
  pool.cpuMillis -= count * replicas * demand.cpuMillis;
  pool.memoryMb -= count * replicas * demand.memoryMb;
  pool.slots -= count * replicas;
  return pool;
}
