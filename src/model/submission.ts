import * as v from "valibot";
import { resourcesSchema } from "./resources.ts";

/** Maximum number of tasks per request. */
export const MAX_TASKS_PER_REQUEST = 1_000;

/** Schema of the work that a caller submits under a request id. */
export const submissionSchema = v.strictObject({
  agreement: v.string(),
  /** Name of the kind of work within the agreement. */
  work: v.string(),
  tasks: v.pipe(
    v.array(v.strictObject({
      demand: v.optional(resourcesSchema),
      durationMs: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
      payload: v.optional(v.unknown()),
    })),
    v.minLength(1),
    v.maxLength(MAX_TASKS_PER_REQUEST),
  ),
  /** Maximum time until the request starts, in milliseconds. */
  deadlineMs: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
});

/** The work that a caller submits under a request id. */
export type Submission = v.InferOutput<typeof submissionSchema>;
