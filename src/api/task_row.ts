import * as v from "valibot";

/** Schema of a task as the owner of its domain lists it. */
export const taskRowSchema = v.object({
  id: v.string(),
  /** Agreement and kind of work joined by a slash, or a platform queue. */
  queue: v.string(),
  customer: v.string(),
  state: v.picklist(["queued", "starting", "running"]),
  worker: v.optional(v.string()),
  /** How long its step has been ready, in milliseconds. */
  waitedMs: v.number(),
});

/** A task as the owner of its domain lists it. */
export type TaskRow = v.InferOutput<typeof taskRowSchema>;
