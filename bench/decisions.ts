/**
 * Decisions: how fast the core places, and how that grows with the workers.
 *
 * @module
 */
import process from "node:process";
import { build } from "hdr-histogram-js";
import type { Request, Task } from "../src/model/mod.ts";
import {
  createPlacement,
  type Placement,
  type PlacementCommand,
  stepPlacement,
} from "../src/placement/mod.ts";
import { makeWorkers, resources } from "./deployment.ts";
import { createRandomness } from "./random.ts";

const TASKS_PER_WORKER = 23;
const SLOTS = 32;
/** Slots of a worker that is full with its tasks. */
const FULL_SLOTS = TASKS_PER_WORKER;
const MAX_QUEUED_TASKS = 20_000;
const NS_PER_MS = 1e6;
const MS_PER_S = 1000;

/** What was measured at one number of workers. */
export type Decisions = {
  workers: number;
  running: number;
  queued: number;
  placementsPerSecond: number;
  /** Time of one decision, in milliseconds. */
  p50Ms: number;
  p99Ms: number;
  meanUs: number;
};

/** What a measurement starts from. */
export type DecisionOptions = {
  workers: number;
  /** Tasks that wait during the measurement. */
  queued: number;
  placements: number;
  seed: number;
};

/**
 * Ends a random task and submits another, again and again, on workers that
 * run 23 tasks each. A decision is both steps together.
 */
export function measureDecisions(options: DecisionOptions): Decisions {
  const { workers, queued, placements, seed } = options;
  const randomness = createRandomness(seed);
  const placement = createPlacement({
    preference: "waiting",
    randomness: createRandomness(seed + 1),
    maxQueuedTasks: MAX_QUEUED_TASKS,
  });
  const running = fill(placement, workers, queued > 0 ? FULL_SLOTS : SLOTS);
  let next = workers * TASKS_PER_WORKER;
  for (let i = 0; i < queued; i++) submit(placement, next++, 0);
  const times = build({ numberOfSignificantValueDigits: 3 });
  let started = 0;
  let spentNs = 0;
  for (let i = 0; i < placements; i++) {
    const at = randomness.integer(0, running.length - 1);
    const from = process.hrtime.bigint();
    const freed = end(placement, running[at]!, i);
    const placed = submit(placement, next++, i);
    const tookNs = Number(process.hrtime.bigint() - from);
    spentNs += tookNs;
    times.recordValue(tookNs);
    const starts = [...freed, ...placed].flatMap((command) =>
      command.kind === "start" ? [command] : []
    );
    started += starts.length;
    const [first, ...others] = starts;
    if (first !== undefined) running[at] = first;
    else running.splice(at, 1);
    running.push(...others);
  }
  return {
    workers,
    running: running.length,
    queued: placement.queued,
    placementsPerSecond: started / (spentNs / NS_PER_MS / MS_PER_S),
    p50Ms: times.getValueAtPercentile(50) / NS_PER_MS,
    p99Ms: times.getValueAtPercentile(99) / NS_PER_MS,
    meanUs: spentNs / placements / 1000,
  };
}

type Start = Extract<PlacementCommand, { kind: "start" }>;

const SMALL = resources(2, 8, 0);

function fill(
  placement: Placement,
  workers: number,
  slots: number,
): Start[] {
  const running: Start[] = [];
  for (
    const { address, capacity } of makeWorkers(
      "worker",
      workers,
      20,
      resources(64, 256, 0),
      slots,
    )
  ) {
    stepPlacement(placement, {
      kind: "workerJoined",
      worker: address,
      capacity,
      token: 1,
      records: [],
    }, 0);
  }
  const total = workers * TASKS_PER_WORKER;
  for (let i = 0; i < total; i++) {
    for (const command of submit(placement, i, 0)) {
      if (command.kind !== "start") continue;
      running.push(command);
      const { worker, task: { id: taskId } } = command;
      const event = { kind: "startConfirmed" as const, worker, taskId };
      stepPlacement(placement, event, 0);
    }
  }
  return running;
}

function submit(
  placement: Placement,
  number: number,
  atMs: number,
): PlacementCommand[] {
  const id = `r-${number}`;
  const common = {
    customer: `team-${number % 280}`,
    agreement: `team-${number % 280}`,
    work: "work",
  };
  const task: Task = {
    ...common,
    id: `${id}/0`,
    requestId: id,
    index: 0,
    count: 1,
    attempt: 1,
    policy: { kind: "batch" },
    urgency: number % 7,
    idempotent: true,
    demand: SMALL,
    durationMs: 30_000,
    payload: undefined,
  };
  const request: Request = {
    ...common,
    id,
    digest: id,
    durable: false,
    acceptedAtMs: atMs,
    tasks: [task],
  };
  const event = { kind: "submitted" as const, request, tasks: [task] };
  return stepPlacement(placement, event, atMs);
}

function end(
  placement: Placement,
  { worker, task }: Start,
  atMs: number,
): PlacementCommand[] {
  const record = {
    task,
    state: "finished" as const,
    startedAtMs: 0,
    endedAtMs: 30_000,
  };
  return stepPlacement(
    placement,
    { kind: "taskChanged", worker, record },
    atMs,
  );
}
