/**
 * One run of a scheduler under a seeded stream of arrivals and endings, in
 * virtual time.
 *
 * @module
 */
import { assertNever } from "../src/base/mod.ts";
import type { Randomness } from "../src/hosts/mod.ts";
import type { Request, Task, TaskRecord } from "../src/model/mod.ts";
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
import {
  createWorkerFake,
  isOverCapacity,
  occupy,
  type Run,
  vacate,
  type WorkerFake,
} from "./worker_fake.ts";

/** One-way delay between an instance and a worker, in milliseconds. */
const ONE_WAY_MS = 1;
const TICK_MS = 100;
const FAILURE_MS = 5;
const MAX_ATTEMPTS = 5;
const SERVICE_RUN_MS = 1e12;

/** What one run is made of. */
export type LoadRunOptions = {
  deployment: Deployment;
  /** Offered load as a part of capacity, such as 0.8. */
  load: number;
  seed: number;
  /** Whether workers fail and requests are cancelled in a wave. */
  faults: boolean;
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
  for (const command of run.scheduler(event, atMs)) {
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
  if (options.faults) scheduleFaults(run);
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
  schedule(run.queue, at(0.25), { kind: "breakWorkers" });
  schedule(run.queue, at(0.5), { kind: "cancelWave" });
  schedule(run.queue, at(0.75), { kind: "mendWorkers" });
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
    run.live.set(task.id, {
      task,
      request,
      arrivedAtMs: atMs,
      truth: drawTrueTask(stream, randomness),
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
  const arrivesAtMs = atMs + ONE_WAY_MS;
  switch (command.kind) {
    case "start": {
      const { worker, task } = command;
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

function startOnWorker(
  run: LoadRun,
  workerId: string,
  task: Task,
  atMs: number,
): void {
  const fake = run.workers.get(workerId)!;
  const live = run.live.get(task.id);
  if (live === undefined) {
    return report(run, fake, endedRecord(task, "stopped", atMs, atMs), atMs);
  }
  const earlier = fake.runs.get(task.id);
  const elsewhere = live.worker !== undefined && live.worker !== workerId;
  if (elsewhere || earlier?.state === "running") run.tally.twice += 1;
  const begun: Run = earlier ?? {
    task,
    truth: live.truth,
    remainingMs: live.truth.runMs,
    startedAtMs: atMs,
    state: "running",
    stretch: 0,
  };
  begun.state = "running";
  begun.startedAtMs = atMs;
  begun.stretch += 1;
  fake.runs.set(task.id, begun);
  live.worker = workerId;
  occupy(fake, begun);
  if (isOverCapacity(fake)) run.tally.overCapacity += 1;
  if (!live.started) waited(run.tally, live, atMs, false);
  live.started = true;
  schedule(run.queue, atMs + ONE_WAY_MS, {
    kind: "event",
    event: { kind: "startConfirmed", worker: workerId, taskId: task.id },
  });
  const runMs = fake.broken ? FAILURE_MS : begun.remainingMs;
  schedule(run.queue, atMs + runMs, {
    kind: "end",
    worker: workerId,
    taskId: task.id,
    stretch: begun.stretch,
  });
}

function endOnWorker(
  run: LoadRun,
  end: Extract<Occurrence, { kind: "end" }>,
  atMs: number,
): void {
  const fake = run.workers.get(end.worker)!;
  const ended = fake.runs.get(end.taskId);
  if (ended === undefined || ended.stretch !== end.stretch) return;
  vacate(fake, ended);
  fake.runs.delete(end.taskId);
  const { task, startedAtMs, truth } = ended;
  const state = fake.broken ? "failed" : "finished";
  report(
    run,
    fake,
    { ...endedRecord(task, state, startedAtMs, atMs), peak: truth.peak },
    atMs,
  );
  const live = run.live.get(task.id);
  if (live === undefined) return;
  run.tally.ended += 1;
  live.worker = undefined;
  if (state === "failed") return retry(run, live, atMs);
  run.live.delete(task.id);
}

/** Submits a failed task again where that is allowed. */
function retry(run: LoadRun, live: LiveTask, atMs: number): void {
  run.tally.failures += 1;
  const attempt = live.task.attempt + 1;
  if (!live.task.idempotent || attempt > MAX_ATTEMPTS) {
    run.tally.lost += 1;
    run.live.delete(live.task.id);
    return;
  }
  live.task = { ...live.task, attempt };
  const event: PlacementEvent = {
    kind: "submitted",
    request: live.request,
    tasks: [live.task],
  };
  schedule(run.queue, atMs + 2 * ONE_WAY_MS, { kind: "event", event });
}

function yieldOnWorker(
  run: LoadRun,
  command: Extract<PlacementCommand, { kind: "yield" }>,
  atMs: number,
): void {
  const { worker, taskId, yielding } = command;
  const fake = run.workers.get(worker)!;
  const running = fake.runs.get(taskId);
  if (running === undefined || running.state === "checkpointed") return;
  run.tally.yields[yielding] += 1;
  if (yielding === "throttle") return;
  if (yielding === "stop") return stopOnWorker(run, fake, running, atMs);
  const stream = run.streams.find(({ work }) =>
    work.name === running.task.work
  );
  const checkpointMs = stream?.work.checkpointMs;
  if (checkpointMs === undefined) return;
  schedule(run.queue, atMs + checkpointMs, {
    kind: "checkpoint",
    worker,
    taskId,
    stretch: running.stretch,
  });
}

function stopOnWorker(
  run: LoadRun,
  fake: WorkerFake,
  stopped: Run,
  atMs: number,
): void {
  const { task, startedAtMs } = stopped;
  vacate(fake, stopped);
  fake.runs.delete(task.id);
  report(run, fake, endedRecord(task, "stopped", startedAtMs, atMs), atMs);
  const live = run.live.get(task.id);
  if (live === undefined) return;
  live.worker = undefined;
  retry(run, live, atMs);
}

function checkpointOnWorker(
  run: LoadRun,
  what: Extract<Occurrence, { kind: "checkpoint" }>,
  atMs: number,
): void {
  const fake = run.workers.get(what.worker)!;
  const paused = fake.runs.get(what.taskId);
  if (paused === undefined || paused.stretch !== what.stretch) return;
  vacate(fake, paused);
  const { task, startedAtMs } = paused;
  paused.remainingMs = Math.max(1, paused.remainingMs - (atMs - startedAtMs));
  paused.state = "checkpointed";
  paused.stretch += 1;
  report(run, fake, { task, state: "checkpointed", startedAtMs }, atMs);
}

function report(
  run: LoadRun,
  fake: WorkerFake,
  record: TaskRecord,
  atMs: number,
): void {
  const worker = fake.worker.address.id;
  const event: PlacementEvent = { kind: "taskChanged", worker, record };
  schedule(run.queue, atMs + ONE_WAY_MS, { kind: "event", event });
}

function endedRecord(
  task: Task,
  state: "finished" | "failed" | "stopped",
  startedAtMs: number,
  endedAtMs: number,
): TaskRecord {
  return { task, state, startedAtMs, endedAtMs };
}
