import * as v from "valibot";
import { outcomeSchema } from "./outcome.ts";

/** Schema of the view of a request that a caller gets. */
export const requestViewSchema = v.object({
  id: v.string(),
  outcome: outcomeSchema,
  tasks: v.array(v.object({
    index: v.number(),
    state: v.string(),
    worker: v.optional(v.string()),
    attempt: v.number(),
  })),
});

/** The view of a request that a caller gets. */
export type RequestView = v.InferOutput<typeof requestViewSchema>;
