/**
 * Starts successors of service replicas whose worker is about to leave.
 *
 * @module
 */
import { type Task, taskIdOf } from "../model/mod.ts";
import { homeOf, reportToHome } from "./report_flow.ts";
import type { RequestEntry, TaskEntry } from "./request_entry.ts";
import { enterTask, findTask } from "./requests.ts";
import { note, type Scheduler, selfHolder } from "./scheduler.ts";
import { queueTasks } from "./task_queue.ts";

/** Replaces a replica if this instance is its home; else tells the home. */
export function replaceOrReport(
  scheduler: Scheduler,
  worker: string,
  task: Task,
): void {
  const found = findTask(scheduler, task.id);
  if (found !== undefined && found.entry.role === "home") {
    replaceReplica(scheduler, found.entry, found.task);
    return;
  }
  const home = found?.entry.home ?? homeOf(scheduler, task.requestId);
  reportToHome(scheduler, home, [{ kind: "leaving", taskId: task.id, worker }]);
}

/**
 * Queues a successor under a new task id, since no task may run in two places.
 * The replica is stopped once the successor runs.
 */
export function replaceReplica(
  scheduler: Scheduler,
  entry: RequestEntry,
  replica: TaskEntry,
): void {
  if (entry.cancelled || entry.home !== selfHolder(scheduler)) return;
  if (replica.successor !== undefined) return;
  const index = Math.max(...entry.tasks.keys()) + 1;
  const id = taskIdOf(entry.request.id, index);
  const successor = enterTask(entry, {
    ...replica.task,
    id,
    index,
    attempt: 1,
  });
  successor.replaces = replica.task.index;
  replica.successor = index;
  note(scheduler, "service.replacing", replica.task.id, id);
  queueTasks(scheduler, entry, [successor]);
}
