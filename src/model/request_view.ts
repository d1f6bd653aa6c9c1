import * as v from "valibot";
import { outcomeSchema } from "./outcome.ts";

/** Schema of what a caller is shown of a request. */
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

/** What a caller is shown of a request. */
export type RequestView = v.InferOutput<typeof requestViewSchema>;
