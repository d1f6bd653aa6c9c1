import * as v from "valibot";
import { resourcesSchema } from "../model/mod.ts";

/** Schema of a worker as the owner of its domain lists it. */
export const workerRowSchema = v.object({
  id: v.string(),
  zone: v.string(),
  rack: v.string(),
  /** `silent`: it does not answer; `leaving`: it takes no new work. */
  state: v.picklist(["held", "silent", "leaving"]),
  /** The epoch of the owner, which fences its orders. */
  epoch: v.number(),
  /** How many tasks are placed there. */
  tasks: v.number(),
  used: resourcesSchema,
  capacity: resourcesSchema,
});

/** A worker as the owner of its domain lists it. */
export type WorkerRow = v.InferOutput<typeof workerRowSchema>;
