import * as v from "valibot";
import { resourcesSchema } from "../../model/mod.ts";

/** Schema of a worker as an entry instance lists it. */
export const workerRowSchema = v.object({
  id: v.string(),
  zone: v.string(),
  rack: v.string(),
  /** `held`, `silent`, `leaving` or `elsewhere`. */
  state: v.string(),
  /** The current fencing token; absent where another instance holds it. */
  token: v.optional(v.number()),
  /** How many tasks run there. */
  tasks: v.number(),
  used: v.optional(resourcesSchema),
  capacity: v.optional(resourcesSchema),
});

/** A worker as an entry instance lists it. */
export type WorkerRow = v.InferOutput<typeof workerRowSchema>;

/** Schema of the list of workers. */
export const workerListSchema = v.object({ workers: v.array(workerRowSchema) });

/** The list of workers. */
export type WorkerList = v.InferOutput<typeof workerListSchema>;
