/**
 * One run of a scheduler under a seeded stream of arrivals and endings, in
 * virtual time.
 *
 * @module
 */
import { assertNever } from "../src/base/mod.ts";
import type { Randomness } from "../src/hosts/mod.ts";
import type { Request, Task } from "../src/model/mod.ts";
import type { PlacementCommand, PlacementEvent } from "../src/placement/mod.ts";
import type { Deployment } from "./deployment.ts";
import {
  createEventQueue,
  type EventQueue,
  schedule,
  takeNext,
} from "./event_queue.ts";
import { breakWorkers, cancelWave, mendWorkers } from "./faults.ts";
import {
  createRequest,
  createStreams,
  drawTrueTask,
  timeToNext,
  type TrueTask,
  type WorkStream,
} from "./offered_load.ts";
import type { Scheduler } from "./scheduler.ts";
import { createTally, sampleWorkers, type Tally, waited } from "./tally.ts";
import { createWorkerFake, type WorkerFake } from "./worker_fake.ts";
import {
  checkpointOnWorker,
  endOnWorker,
  startOnWorker,
  yieldOnWorker,
} from "./worker_events.ts";

const TICK_MS = 100;
const SERVICE_RUN_MS = 1e12;

/** What one run is made of. */
export type LoadRunOptions = {
  deployment: Deployment;
  /** Offered load as a part of capacity, such as 0.8. */
  load: number;
  seed: number;
  /** Whether some workers fail everything for a while. */
  brokenWorkers: boolean;
  /** Whether a wave of cancellations comes. */
  cancellations: boolean;
  /** Whether tasks declare what they really take. */
  trueSizes: boolean;
  /** One-way delay between an instance and a worker, in milliseconds. */
  oneWayMs: number;
  createScheduler(randomness: Randomness): Scheduler;
  createRandomness(seed: number): Randomness;
};

/** The state of a run. */
export type LoadRun = {
  options: LoadRunOptions;
  randomness: Randomness;
  scheduler: Scheduler;
  streams: WorkStream[];
  workers: Map<string, WorkerFake>;
  queue: EventQueue<Occurrence>;
  /** Every task that has not ended. */
  live: Map<string, LiveTask>;
  tally: Tally;
  nextRequest: number;
};

/** A task between its arrival and its end. */
export type LiveTask = {
  task: Task;
  request: Request;
  arrivedAtMs: number;
  truth: TrueTask;
  started: boolean;
  /** The worker on which it runs or waits at a checkpoint. */
  worker: string | undefined;
};

/** Something that happens in virtual time. */
export type Occurrence =
  | { kind: "arrival"; stream: WorkStream }
  | { kind: "start"; worker: string; task: Task }
  | { kind: "end"; worker: string; taskId: string; stretch: number }
  | { kind: "yield"; command: Extract<PlacementCommand, { kind: "yield" }> }
  | { kind: "checkpoint"; worker: string; taskId: string; stretch: number }
  | { kind: "event"; event: PlacementEvent }
  | { kind: "breakWorkers" }
  | { kind: "mendWorkers" }
  | { kind: "cancelWave" }
  | { kind: "tick" };

/** Runs a scheduler and returns what was counted. */
export function runLoad(options: LoadRunOptions): Tally {
  const run = createRun(options);
  const { deployment } = options;
  const endMs = deployment.warmUpMs + deployment.measuredMs;
  for (;;) {
    const next = takeNext(run.queue);
    if (next === undefined || next.atMs > endMs) break;
    happen(run, next.what, next.atMs);
  }
  for (const live of run.live.values()) {
    if (!live.started) waited(run.tally, live, endMs, true);
  }
  return run.tally;
}

/** Hands an event to the scheduler and carries its commands out. */
export function tell(run: LoadRun, event: PlacementEvent, atMs: number): void {
  run.tally.events += 1;
  for (const command of run.scheduler(event, atMs)) {
    run.tally.commands += 1;
    carryOut(run, command, atMs);
  }
}

function createRun(options: LoadRunOptions): LoadRun {
  const { deployment, load, seed } = options;
  const randomness = options.createRandomness(seed);
  const run: LoadRun = {
    options,
    randomness,
    scheduler: options.createScheduler(options.createRandomness(seed + 1)),
    streams: createStreams(deployment, load, randomness),
    workers: new Map(),
    queue: createEventQueue(),
    live: new Map(),
    tally: createTally(deployment),
    nextRequest: 0,
  };
  for (const worker of deployment.workers) joinWorker(run, worker);
  startServices(run);
  for (const stream of run.streams) scheduleArrival(run, stream, 0);
  schedule(run.queue, TICK_MS, { kind: "tick" });
  scheduleFaults(run);
  return run;
}

function joinWorker(
  run: LoadRun,
  worker: Deployment["workers"][number],
): void {
  const { address, capacity } = worker;
  run.workers.set(address.id, createWorkerFake(worker));
  tell(run, {
    kind: "workerJoined",
    worker: address,
    capacity,
    token: 1,
    records: [],
  }, 0);
}

function startServices(run: LoadRun): void {
  const { count, replicas, demand } = run.options.deployment.services;
  const stream: WorkStream = {
    work: {
      name: "service",
      policy: { kind: "service" },
      urgency: 8,
      idempotent: true,
      demand,
      durationMs: SERVICE_RUN_MS,
      tasks: replicas,
      part: 0,
      agreements: 1,
      checkpointMs: undefined,
    },
    sizeError: 1,
    timeError: 1,
    everyMs: Infinity,
  };
  for (let i = 0; i < count; i++) submit(run, stream, 0);
}

function scheduleFaults(run: LoadRun): void {
  const { warmUpMs, measuredMs } = run.options.deployment;
  const at = (part: number) => warmUpMs + part * measuredMs;
  const { brokenWorkers, cancellations } = run.options;
  if (brokenWorkers) {
    schedule(run.queue, at(0.25), { kind: "breakWorkers" });
    schedule(run.queue, at(0.75), { kind: "mendWorkers" });
  }
  if (cancellations) schedule(run.queue, at(0.5), { kind: "cancelWave" });
}

function scheduleArrival(
  run: LoadRun,
  stream: WorkStream,
  atMs: number,
): void {
  const next = atMs + timeToNext(stream, run.randomness);
  schedule(run.queue, next, { kind: "arrival", stream });
}

function happen(run: LoadRun, what: Occurrence, atMs: number): void {
  switch (what.kind) {
    case "arrival":
      submit(run, what.stream, atMs);
      return scheduleArrival(run, what.stream, atMs);
    case "start":
      return startOnWorker(run, what.worker, what.task, atMs);
    case "end":
      return endOnWorker(run, what, atMs);
    case "yield":
      return yieldOnWorker(run, what.command, atMs);
    case "checkpoint":
      return checkpointOnWorker(run, what, atMs);
    case "event":
      return tell(run, what.event, atMs);
    case "breakWorkers":
      return breakWorkers(run);
    case "mendWorkers":
      return mendWorkers(run);
    case "cancelWave":
      return cancelWave(run, atMs);
    case "tick":
      sampleWorkers(run, atMs);
      schedule(run.queue, atMs + TICK_MS, { kind: "tick" });
      return tell(run, { kind: "ticked" }, atMs);
    default:
      return assertNever(what);
  }
}

function submit(run: LoadRun, stream: WorkStream, atMs: number): void {
  const { randomness } = run;
  const request = createRequest(stream, run.nextRequest++, atMs, randomness);
  for (const task of request.tasks) {
    const truth = drawTrueTask(stream, randomness);
    if (run.options.trueSizes) task.demand = truth.peak;
    run.live.set(task.id, {
      task,
      request,
      arrivedAtMs: atMs,
      truth,
      started: false,
      worker: undefined,
    });
  }
  tell(run, { kind: "submitted", request, tasks: request.tasks }, atMs);
}

function carryOut(
  run: LoadRun,
  command: PlacementCommand,
  atMs: number,
): void {
  const arrivesAtMs = atMs + run.options.oneWayMs;
  switch (command.kind) {
    case "start": {
      const { worker, task } = command;
      run.tally.startCommands += 1;
      return schedule(run.queue, arrivesAtMs, { kind: "start", worker, task });
    }
    case "yield":
      return schedule(run.queue, arrivesAtMs, { kind: "yield", command });
    case "refuse":
      run.tally.refused += 1;
      run.live.delete(command.taskId);
      return;
    case "replace":
      return;
    case "offload":
      run.tally.offloads += 1;
      return;
    default:
      return assertNever(command);
  }
}
