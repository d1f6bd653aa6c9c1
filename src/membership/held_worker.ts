import * as v from "valibot";

/** Schema of a worker that an instance holds. */
export const heldWorkerSchema = v.object({
  worker: v.string(),
  /** The fencing token under which the worker is held. */
  token: v.number(),
});

/** A worker that an instance holds, and the token of its lease. */
export type HeldWorker = v.InferOutput<typeof heldWorkerSchema>;
