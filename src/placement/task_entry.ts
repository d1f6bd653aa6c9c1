import type { Yielding } from "../hosts/mod.ts";
import type { Resources, Task } from "../model/mod.ts";
import type { LearnedKind } from "./learned_kind.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/** A task that waits for a worker. */
export type QueuedTask = {
  kind: "queued";
  task: Task;
  learned: LearnedKind;
  group: WaitingGroup;
  /** Whether the task still waits. */
  waits: boolean;
};

/** A task that has room on a worker. */
export type PlacedTask = {
  kind: "placed";
  task: Task;
  learned: LearnedKind;
  worker: WorkerState;
  /** Room held on the worker until the task has surely ended. */
  reserved: Resources;
  /** The token under which the task was sent, or found running. */
  token: number;
  /** Whether the worker confirmed that the task runs. */
  confirmed: boolean;
  /** When the start was sent or the run began, in milliseconds. */
  sinceMs: number;
  /** Whether the task is to be stopped and forgotten. */
  withdrawn: boolean;
  /** How the task was last asked to give way, when, and how far it goes. */
  yielding: { how: Yielding; atMs: number; last: Yielding } | undefined;
  /** Where the task goes back to when the worker refuses the start. */
  group: WaitingGroup | undefined;
};

/** A task that waits at a checkpoint and goes on at the same worker. */
export type CheckpointedTask = {
  kind: "checkpointed";
  task: Task;
  learned: LearnedKind;
  worker: WorkerState;
  /** Since when the task waits, in milliseconds. */
  sinceMs: number;
  /** Whether the task is to be stopped and forgotten. */
  withdrawn: boolean;
};

/** Where a task known to the core stands. */
export type TaskEntry = QueuedTask | PlacedTask | CheckpointedTask;
