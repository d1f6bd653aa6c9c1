import * as v from "valibot";
import { resourcesSchema } from "../model/mod.ts";

/** Schema of a worker as the owner of its domain lists it. */
export const workerRowSchema = v.object({
  id: v.string(),
  zone: v.string(),
  rack: v.string(),
  /**
   * `held`: it responds and accepts work; `silent`: it does not respond;
   * `leaving`: it accepts no new work.
   */
  state: v.picklist(["held", "silent", "leaving"]),
  /** Fencing epoch of the owner's commands to the worker. */
  epoch: v.number(),
  /** Number of tasks placed on the worker. */
  tasks: v.number(),
  used: resourcesSchema,
  capacity: resourcesSchema,
});

/** A worker as the owner of its domain lists it. */
export type WorkerRow = v.InferOutput<typeof workerRowSchema>;
