import * as v from "valibot";
import { resourcesSchema, workerCapacitySchema } from "../../model/mod.ts";

/** Schema of a worker as an entry instance lists it. */
export const workerRowSchema = v.object({
  id: v.string(),
  zone: v.string(),
  rack: v.string(),
  state: v.string(),
  /** The current fencing token. */
  token: v.number(),
  /** How many tasks run there. */
  tasks: v.number(),
  used: resourcesSchema,
  capacity: workerCapacitySchema,
});

/** A worker as an entry instance lists it. */
export type WorkerRow = v.InferOutput<typeof workerRowSchema>;

/** Schema of the list of workers. */
export const workerListSchema = v.object({ workers: v.array(workerRowSchema) });

/** The list of workers. */
export type WorkerList = v.InferOutput<typeof workerListSchema>;
