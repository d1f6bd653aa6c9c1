/**
 * Takes in what workers remember of tasks.
 *
 * @module
 */
import type { TaskRecord } from "../model/mod.ts";
import { applyPlacement } from "./placement_driver.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import type { HeldWorker } from "./held_worker.ts";
import { awayAt } from "./recovery_flow.ts";
import { findTask } from "./requests.ts";
import { notify } from "./runner.ts";
import { note, type Scheduler } from "./scheduler.ts";
import { endTask, outcomeOf } from "./task_end.ts";
import { stopTask } from "./cancel_flow.ts";
import { mayRepeat, repeatTask } from "./task_queue.ts";
import { requestTopic } from "./topics.ts";

/** How often a failing idempotent task is run at the most. */
const MAX_FAILED_ATTEMPTS = 3;

/** A record, and the lease under which its worker told it. */
export type SeenRecord = {
  worker: string;
  token: number;
  /** The run of the worker's process that remembers the task. */
  boot: string;
  record: TaskRecord;
};

/** Joins a record with the lease of the worker that told it. */
export function seenAt(held: HeldWorker, record: TaskRecord): SeenRecord {
  const { token, boot } = held;
  return { worker: held.address.id, token, boot, record };
}

/**
 * Takes in what a worker says of a task. The record is the truth about its
 * run, whoever passed it on.
 */
export function applyRecord(scheduler: Scheduler, seen: SeenRecord): void {
  const { worker, record } = seen;
  const found = findTask(scheduler, record.task.id);
  if (found === undefined) return;
  const { entry, task } = found;
  if (task.progress.kind === "ended") return;
  const isOld = record.task.attempt < task.task.attempt;
  if (isOld && record.state !== "finished") return;
  task.startedOn = worker;
  switch (record.state) {
    case "running":
      setRunning(scheduler, entry, task, seen);
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

function setRunning(
  scheduler: Scheduler,
  entry: RequestEntry,
  task: TaskEntry,
  seen: SeenRecord,
): void {
  const { worker, token } = seen;
  const isNew = task.progress.kind !== "running" &&
    task.progress.kind !== "moved";
  const held = scheduler.held.get(worker);
  if (held !== undefined && held.token === token) {
    task.progress = { kind: "running", worker, token };
  } else if (task.progress.kind !== "moved") {
    task.progress = awayAt(scheduler, seen);
  }
  stopReplaced(scheduler, entry, task);
  if (isNew) note(scheduler, "task.started", task.task.id, worker);
  notify(scheduler.runner, requestTopic(entry.request.id));
}

/** A successor runs: the replica in whose place it is may end. */
function stopReplaced(
  scheduler: Scheduler,
  entry: RequestEntry,
  successor: TaskEntry,
): void {
  if (successor.replaces === undefined) return;
  const replica = entry.tasks.get(successor.replaces);
  if (replica === undefined || replica.progress.kind === "ended") return;
  stopTask(scheduler, entry, replica);
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
  if (task.successor !== undefined) return false;
  if (task.task.policy.kind === "service") return true;
  if (record.state === "stopped") return true;
  return record.state === "failed" &&
    task.task.attempt < MAX_FAILED_ATTEMPTS;
}

function withdrawFromPlacement(scheduler: Scheduler, task: TaskEntry): void {
  if (task.progress.kind !== "queued") return;
  applyPlacement(scheduler, { kind: "withdrawn", taskIds: [task.task.id] });
}
