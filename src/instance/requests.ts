/**
 * The table of requests: what happens to a task, and to its request with it.
 *
 * @module
 */
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import type { Holder } from "../membership/mod.ts";
import type {
  Outcome,
  Request,
  Task,
  TaskId,
  TaskOutcome,
  TaskRecord,
} from "../model/mod.ts";
import { commitInBackground } from "./appends.ts";
import { applyPlacement } from "./placement_driver.ts";
import { reportToHome } from "./report_flow.ts";
import type {
  Durability,
  RequestEntry,
  Role,
  TaskEntry,
} from "./request_entry.ts";
import { notify, spawn } from "./runner.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import type { Flow } from "./flow.ts";
import { requestTopic } from "./topics.ts";
import { sleep } from "./waits.ts";

/** How often a failing idempotent task is run at the most. */
const MAX_FAILED_ATTEMPTS = 3;
/** Delay before the second attempt; it doubles with each attempt. */
const FIRST_REPEAT_DELAY_MS = 100;
/** The longest delay before another attempt. */
const MAX_REPEAT_DELAY_MS = 10_000;

/** A task together with the request it belongs to. */
export type FoundTask = { entry: RequestEntry; task: TaskEntry };

/** Returns the id of the request that a task belongs to. */
export function requestIdOf(taskId: TaskId): string {
  return taskId.slice(0, taskId.lastIndexOf("/"));
}

/** Finds a task that this instance is the home or a guest of. */
export function findTask(
  scheduler: Scheduler,
  taskId: TaskId,
): FoundTask | undefined {
  const entry = scheduler.requests.get(requestIdOf(taskId));
  const index = Number(taskId.slice(taskId.lastIndexOf("/") + 1));
  const task = entry?.tasks.get(index);
  if (entry === undefined || task === undefined) return undefined;
  return { entry, task };
}

/**
 * Enters a request into the table without queueing its tasks.
 *
 * @param tasks the tasks that this instance answers for or was handed
 */
export function enterRequest(
  scheduler: Scheduler,
  request: Request,
  tasks: Task[],
  role: Role,
  home: Holder,
  durability: Durability,
): RequestEntry {
  const entry: RequestEntry = {
    request,
    role,
    home,
    durability,
    tasks: new Map(),
    cancelled: false,
    outcome: undefined,
    endedAtMs: undefined,
  };
  for (const task of tasks) {
    entry.tasks.set(task.index, {
      task,
      progress: { kind: "queued" },
      startedOn: undefined,
    });
  }
  scheduler.requests.set(request.id, entry);
  return entry;
}

/** Hands tasks of a request to the placement core. */
export function queueTasks(
  scheduler: Scheduler,
  entry: RequestEntry,
  tasks: TaskEntry[],
): void {
  if (tasks.length === 0) return;
  for (const task of tasks) task.progress = { kind: "queued" };
  applyPlacement(scheduler, {
    kind: "submitted",
    request: entry.request,
    tasks: tasks.map((task) => task.task),
  });
}

/**
 * Takes in what a worker says of a task. The record is the truth about its
 * run, whoever passed it on.
 *
 * @param token the token under which the teller holds the worker
 */
export function applyRecord(
  scheduler: Scheduler,
  worker: string,
  token: number,
  record: TaskRecord,
): void {
  const found = findTask(scheduler, record.task.id);
  if (found === undefined) return;
  const { entry, task } = found;
  if (task.progress.kind === "ended") return;
  const isOld = record.task.attempt < task.task.attempt;
  if (isOld && record.state !== "finished") return;
  task.startedOn = worker;
  switch (record.state) {
    case "running":
      setRunning(scheduler, entry, task, worker, token);
      break;
    case "checkpointed":
      // The placement core queues the task again for the same worker.
      task.progress = { kind: "queued" };
      break;
    case "finished":
    case "failed":
    case "stopped":
      applyEnd(scheduler, entry, task, worker, record);
      break;
  }
}

/** Ends a task with its final outcome, and its request with the last task. */
export function endTask(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  outcome: TaskOutcome,
): void {
  task.progress = { kind: "ended", outcome };
  note(scheduler, `task.${outcome.kind}`, task.task.id);
  notify(scheduler.runner, requestTopic(entry.request.id));
  if (entry.outcome !== undefined) return;
  for (const other of entry.tasks.values()) {
    if (other.progress.kind !== "ended") return;
  }
  finishRequest(scheduler, entry);
}

/** Ends a task that surely never started. */
export function endUnstarted(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  code: number,
  cause: string,
): void {
  if (task.startedOn !== undefined || task.task.attempt > 1) {
    endTask(scheduler, entry, task, {
      kind: "stopped",
      index: task.task.index,
      worker: task.startedOn ?? "",
      attempt: task.task.attempt,
      cause,
    });
    return;
  }
  entry.refusalCode ??= code;
  if (entry.role === "guest") {
    reportToHome(scheduler, entry.home, [{
      kind: "refused",
      taskId: task.task.id,
      code,
      cause,
    }]);
  }
  endTask(scheduler, entry, task, {
    kind: "didNotRun",
    index: task.task.index,
    cause,
  });
}

/**
 * Queues a task again that surely did not start under its current attempt.
 * A guest hands it back to the home. A home that was barred ends it, since
 * others may already have said that it did not run.
 */
export function requeueUnstarted(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
): void {
  if (entry.role === "guest") {
    task.progress = { kind: "returned" };
    reportToHome(scheduler, entry.home, [{
      kind: "returned",
      taskId: task.task.id,
    }]);
    return;
  }
  const isBarred = entry.home !== selfHolder(scheduler);
  if (!entry.cancelled && !isBarred) {
    queueTasks(scheduler, entry, [task]);
    return;
  }
  applyPlacement(scheduler, { kind: "withdrawn", taskIds: [task.task.id] });
  const message = entry.cancelled
    ? diagnostics.cancelled
    : diagnostics.homeSettled;
  endUnstarted(scheduler, entry, task, message.code, message.template);
}

/**
 * Ends or repeats a task whose worker is gone for good or has surely stopped
 * it. Only idempotent tasks are repeated.
 */
export function resolveLostRun(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  worker: string,
): void {
  if (mayRepeat(scheduler, entry, task)) {
    repeatTask(scheduler, entry, task);
    return;
  }
  endTask(scheduler, entry, task, {
    kind: "lost",
    index: task.task.index,
    cause: formatDiagnostic(diagnostics.workerLost, worker),
  });
}

/** Tells whether a task may be run again under a higher attempt. */
export function mayRepeat(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
): boolean {
  return task.task.idempotent && !entry.cancelled &&
    entry.role === "home" && entry.home === selfHolder(scheduler);
}

function setRunning(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  worker: string,
  token: number,
): void {
  const isNew = task.progress.kind !== "running" &&
    task.progress.kind !== "moved";
  const held = scheduler.held.get(worker);
  if (held !== undefined && held.token === token) {
    task.progress = { kind: "running", worker, token };
  } else if (task.progress.kind !== "moved") {
    task.progress = {
      kind: "away",
      worker,
      token,
      lapsesAtMs: Number.POSITIVE_INFINITY,
      seen: true,
    };
  }
  if (isNew) note(scheduler, "task.started", task.task.id, worker);
  notify(scheduler.runner, requestTopic(entry.request.id));
}

function applyEnd(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  worker: string,
  record: TaskRecord,
): void {
  if (repeatsAfter(scheduler, entry, task, record)) {
    repeatTask(scheduler, entry, task);
    return;
  }
  withdrawFromPlacement(scheduler, task);
  endTask(scheduler, entry, task, outcomeOf(worker, record));
}

function repeatsAfter(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  record: TaskRecord,
): boolean {
  if (!mayRepeat(scheduler, entry, task)) return false;
  if (task.task.policy.kind === "service") return true;
  if (record.state === "stopped") return true;
  return record.state === "failed" &&
    task.task.attempt < MAX_FAILED_ATTEMPTS;
}

function repeatTask(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
): void {
  task.task = { ...task.task, attempt: task.task.attempt + 1 };
  task.progress = { kind: "queued" };
  task.startedOn = undefined;
  note(scheduler, "task.repeated", task.task.id, `${task.task.attempt}`);
  spawn(scheduler.runner, queueLater(scheduler, entry, task));
}

function* queueLater(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
): Flow<void> {
  const exponent = task.task.attempt - 2;
  const delayMs = Math.min(
    FIRST_REPEAT_DELAY_MS * 2 ** exponent,
    MAX_REPEAT_DELAY_MS,
  );
  yield* sleep(delayMs);
  if (task.progress.kind !== "queued") return;
  requeueUnstarted(scheduler, entry, task);
}

function withdrawFromPlacement(scheduler: Scheduler, task: TaskEntry): void {
  if (task.progress.kind !== "queued") return;
  applyPlacement(scheduler, { kind: "withdrawn", taskIds: [task.task.id] });
}

/** Says as an outcome what a record of an ended run tells. */
export function outcomeOf(worker: string, record: TaskRecord): TaskOutcome {
  const { index, attempt } = record.task;
  switch (record.state) {
    case "finished":
      return {
        kind: "finished",
        index,
        worker,
        attempt,
        output: record.output,
      };
    case "failed": {
      const cause = record.cause ?? "";
      return { kind: "failed", index, worker, attempt, cause };
    }
    default: {
      const cause = record.cause ?? "";
      return { kind: "stopped", index, worker, attempt, cause };
    }
  }
}

function finishRequest(scheduler: Scheduler, entry: RequestEntry): void {
  entry.outcome = outcomeOfRequest(entry);
  entry.endedAtMs = scheduler.moment.steadyMs;
  note(scheduler, "request.ended", entry.request.id, entry.outcome.kind);
  if (entry.role === "home" && entry.durability !== "none") {
    commitInBackground(scheduler, {
      kind: "ended",
      requestId: entry.request.id,
      outcome: entry.outcome,
    });
  }
}

function outcomeOfRequest(entry: RequestEntry): Outcome {
  const tasks = [...entry.tasks.values()]
    .flatMap((task) =>
      task.progress.kind === "ended" ? [task.progress.outcome] : []
    )
    .sort((left, right) => left.index - right.index);
  const lost = tasks.find((task) => task.kind === "lost");
  if (lost !== undefined) {
    return {
      kind: "notKnownYet",
      state: "lost",
      cause: lost.cause,
      retryAfterMs: 0,
    };
  }
  const first = tasks[0];
  if (tasks.every((task) => task.kind === "didNotRun")) {
    return {
      kind: "didNotRun",
      code: entry.refusalCode ?? diagnostics.cancelled.code,
      cause: first?.kind === "didNotRun" ? first.cause : "",
    };
  }
  return { kind: "ran", tasks };
}
