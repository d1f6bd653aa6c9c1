/**
 * Queues tasks, for their first start or for another one.
 *
 * @module
 */
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import type { Flow } from "./flow.ts";
import { applyPlacement } from "./placement_driver.ts";
import { reportToHome } from "./report_flow.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import { spawn } from "./runner.ts";
import { keepCopy, note, type Scheduler, selfHolder } from "./scheduler.ts";
import { endTask, endUnstarted } from "./task_end.ts";
import { sleep } from "./waits.ts";

/** Delay before the second attempt; it doubles with each attempt. */
const FIRST_REPEAT_DELAY_MS = 100;
/** The longest delay before another attempt. */
const MAX_REPEAT_DELAY_MS = 10_000;

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
    applyPlacement(scheduler, { kind: "withdrawn", taskIds: [task.task.id] });
    task.progress = { kind: "returned" };
    reportToHome(scheduler, entry.home, [{
      kind: "returned",
      taskId: task.task.id,
      epoch: task.moveEpoch,
    }]);
    return;
  }
  const isBarred = entry.home !== selfHolder(scheduler);
  if (!entry.cancelled && !isBarred) {
    queueTasks(scheduler, entry, [task]);
    return;
  }
  applyPlacement(scheduler, { kind: "withdrawn", taskIds: [task.task.id] });
  if (isBarred && entry.request.durable) {
    keepCopy(scheduler, entry.request);
    scheduler.requests.delete(entry.request.id);
    return;
  }
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

/** Queues a task for another attempt, after a delay that grows. */
export function repeatTask(
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
