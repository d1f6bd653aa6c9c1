import * as v from "valibot";
import { resourcesSchema } from "./resources.ts";

/** Schema of a client account: who calls, and what it may use. */
export const clientAccountSchema = v.object({
  name: v.pipe(v.string(), v.minLength(1)),
  /** The keys that identify its calls. */
  keys: v.array(v.pipe(v.string(), v.minLength(1))),
  /** 0 is the highest. */
  priority: v.number(),
  /** Submissions per second that it may count on; its share under load. */
  weight: v.number(),
  /**
   * What its tasks may allocate on all workers of all services together; 0 of a
   * resource is no limit.
   */
  cap: resourcesSchema,
});

/** A client account: who calls, and what it may use. */
export type ClientAccount = v.InferOutput<typeof clientAccountSchema>;
