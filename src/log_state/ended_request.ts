import * as v from "valibot";
import { outcomeSchema } from "../model/mod.ts";

/** Schema of durable work whose outcome is final. */
export const endedRequestSchema = v.object({
  requestId: v.string(),
  /** When the end was recorded, on the clock of the log's entries. */
  atMs: v.number(),
  outcome: outcomeSchema,
});

/** Durable work whose outcome is final. */
export type EndedRequest = v.InferOutput<typeof endedRequestSchema>;
