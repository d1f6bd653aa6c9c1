import * as v from "valibot";
import { requestSchema, taskOutcomeSchema } from "../model/mod.ts";

/** Schema of durable work that has not ended. */
export const acceptedRequestSchema = v.object({
  request: requestSchema,
  /** Number of the latest adoption; 0 while the id's own home has it. */
  epoch: v.number(),
  /** `instance/incarnation` of the adopter; absent at epoch 0. */
  holder: v.optional(v.string()),
  /** Outcomes of the tasks that have ended. */
  ended: v.optional(v.array(taskOutcomeSchema), []),
});

/** Durable work that has not ended, and who is responsible for it. */
export type AcceptedRequest = v.InferOutput<typeof acceptedRequestSchema>;
