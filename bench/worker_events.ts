/**
 * What the fake workers do with the commands that reach them.
 *
 * @module
 */
import type { Task, TaskRecord } from "../src/model/mod.ts";
import type { PlacementCommand, PlacementEvent } from "../src/placement/mod.ts";
import { schedule } from "./event_queue.ts";
import type { LiveTask, LoadRun, Occurrence } from "./load_run.ts";
import { waited } from "./tally.ts";
import {
  isOverCapacity,
  occupy,
  type Run,
  vacate,
  type WorkerFake,
} from "./worker_fake.ts";

const FAILURE_MS = 5;
const MAX_ATTEMPTS = 5;

/** Starts a task, or lets it go on from its checkpoint. */
export function startOnWorker(
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
  schedule(run.queue, atMs + run.options.oneWayMs, {
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

/** Ends a run, unless it was stopped or checkpointed meanwhile. */
export function endOnWorker(
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

/** Makes a run give way as it was told. */
export function yieldOnWorker(
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

/** Completes a checkpoint. */
export function checkpointOnWorker(
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
  schedule(run.queue, atMs + 2 * run.options.oneWayMs, {
    kind: "event",
    event,
  });
}

function report(
  run: LoadRun,
  fake: WorkerFake,
  record: TaskRecord,
  atMs: number,
): void {
  const worker = fake.worker.address.id;
  const event: PlacementEvent = { kind: "taskChanged", worker, record };
  schedule(run.queue, atMs + run.options.oneWayMs, { kind: "event", event });
}

function endedRecord(
  task: Task,
  state: "finished" | "failed" | "stopped",
  startedAtMs: number,
  endedAtMs: number,
): TaskRecord {
  return { task, state, startedAtMs, endedAtMs };
}
