import type { Resources, Task } from "../model/mod.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/** A task that waits for a worker. */
export type QueuedTask = {
  kind: "queued";
  task: Task;
  group: WaitingGroup;
  /** Room that the task will get: what it declares, or more. */
  demand: Resources;
};

/** A task that has room on a worker. */
export type PlacedTask = {
  kind: "placed";
  task: Task;
  worker: WorkerState;
  /** Room held on the worker until the task has surely ended. */
  reserved: Resources;
  /** Whether the worker confirmed that the task runs. */
  confirmed: boolean;
  /** When the start was sent or the run began, in milliseconds. */
  sinceMs: number;
  /** Whether the task is to be stopped and forgotten. */
  withdrawn: boolean;
  /** Where the task goes back to when the worker refuses the start. */
  group: WaitingGroup | undefined;
};

/** Where a task known to the core stands. */
export type TaskEntry = QueuedTask | PlacedTask;
