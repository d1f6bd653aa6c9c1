import * as v from "valibot";

/** Schema of a task as an entry instance lists it. */
export const taskRowSchema = v.object({
  id: v.string(),
  customer: v.string(),
  agreement: v.string(),
  work: v.string(),
  state: v.string(),
  worker: v.optional(v.string()),
  /** How long the task has waited, or did wait, in milliseconds. */
  waitedMs: v.number(),
});

/** A task as an entry instance lists it. */
export type TaskRow = v.InferOutput<typeof taskRowSchema>;

/** Schema of the list of tasks. */
export const taskListSchema = v.object({ tasks: v.array(taskRowSchema) });

/** The list of tasks. */
export type TaskList = v.InferOutput<typeof taskListSchema>;
