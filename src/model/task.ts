import * as v from "valibot";
import { policySchema } from "./policy.ts";
import { resourcesSchema } from "./resources.ts";

/** Schema of a task as a worker receives it. */
export const taskSchema = v.object({
  /** Request id and index, joined by a slash; the same for every attempt. */
  id: v.string(),
  requestId: v.string(),
  /** Position among the tasks of the request, from 0. */
  index: v.number(),
  /** How many tasks the request has. */
  count: v.number(),
  /** Number of the run, from 1; above 1 only for idempotent work. */
  attempt: v.number(),
  customer: v.string(),
  agreement: v.string(),
  work: v.string(),
  policy: policySchema,
  urgency: v.number(),
  idempotent: v.boolean(),
  demand: resourcesSchema,
  /** How long the task is expected to run, in milliseconds. */
  durationMs: v.number(),
  payload: v.optional(v.unknown()),
});

/** One task of a request, with all that a worker needs to run it. */
export type Task = v.InferOutput<typeof taskSchema>;

/** A task's id: request id and index, joined by a slash. */
export type TaskId = string;

/**
 * Builds the id of a task.
 *
 * @example
 * ```ts
 * taskIdOf(requestId, 0); // "<request id>/0"
 * ```
 */
export function taskIdOf(requestId: string, index: number): TaskId {
  return `${requestId}/${index}`;
}

/** Schema of what a worker remembers of a task. */
export const taskRecordSchema = v.object({
  task: taskSchema,
  state: v.picklist([
    "running",
    "checkpointed",
    "finished",
    "failed",
    "stopped",
  ]),
  /** When the run began on the worker's clock, in milliseconds. */
  startedAtMs: v.number(),
  /** When the run ended on the worker's clock, in milliseconds. */
  endedAtMs: v.optional(v.number()),
  /** What a finished task returned. */
  output: v.optional(v.unknown()),
  /** The most that the run used at once, where the worker measures it. */
  peak: v.optional(resourcesSchema),
  /** Why a failed or stopped task ended. */
  cause: v.optional(v.string()),
});

/** What a worker remembers of a task: the truth about its run. */
export type TaskRecord = v.InferOutput<typeof taskRecordSchema>;
