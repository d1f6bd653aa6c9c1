/**
 * The table of requests that an instance is the home or a guest of.
 *
 * @module
 */
import type { Holder } from "../membership/mod.ts";
import type { Request, Task, TaskId } from "../model/mod.ts";
import type {
  Durability,
  RequestEntry,
  Role,
  TaskEntry,
} from "./request_entry.ts";
import type { Scheduler } from "./scheduler.ts";

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
    movedAtMs: undefined,
    moveEpoch: 0,
    outcome: undefined,
    endedAtMs: undefined,
  };
  for (const task of tasks) enterTask(entry, task);
  scheduler.requests.set(request.id, entry);
  return entry;
}

/** Enters a task into its request without queueing it. */
export function enterTask(entry: RequestEntry, task: Task): TaskEntry {
  const entered: TaskEntry = {
    task,
    progress: { kind: "queued" },
    startedOn: undefined,
    moveEpoch: entry.moveEpoch,
  };
  entry.tasks.set(task.index, entered);
  return entered;
}
