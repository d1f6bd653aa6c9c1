import * as v from "valibot";
import { taskSchema } from "./task.ts";

/** Schema of an accepted request. */
export const requestSchema = v.object({
  id: v.string(),
  customer: v.string(),
  agreement: v.string(),
  work: v.string(),
  /** Digest of the submission, to recognise a repeat. */
  digest: v.string(),
  durable: v.boolean(),
  /** When the request was accepted, in milliseconds since the epoch. */
  acceptedAtMs: v.number(),
  /** When the request must have started, in milliseconds since the epoch. */
  startByMs: v.optional(v.number()),
  tasks: v.array(taskSchema),
});

/** A request whose submission was checked against the manifest. */
export type Request = v.InferOutput<typeof requestSchema>;
