import * as v from "valibot";
import { outcomeSchema } from "../model/mod.ts";

/** Schema of what a caller is shown of a request. */
export const viewSchema = v.object({
  id: v.string(),
  outcome: outcomeSchema,
  /** Where the accepted request is kept besides its home. */
  durability: v.picklist(["log", "peer", "none"]),
  tasks: v.array(v.object({
    index: v.number(),
    state: v.string(),
    worker: v.optional(v.string()),
    attempt: v.number(),
  })),
});

/** What a caller is shown of a request. */
export type View = v.InferOutput<typeof viewSchema>;

/** Schema of the answer to a caller's call. */
export const callAnswerSchema = v.variant("kind", [
  v.object({ kind: v.literal("issued"), id: v.string() }),
  v.object({ kind: v.literal("view"), view: viewSchema }),
  v.object({
    kind: v.literal("problem"),
    status: v.number(),
    /** Number of the diagnostic. */
    code: v.number(),
    detail: v.string(),
    /** False where it is certain that nothing ran. */
    ran: v.optional(v.literal(false)),
  }),
  v.object({ kind: v.literal("published"), version: v.number() }),
]);

/** The answer to a caller's or an operator's call. */
export type CallAnswer = v.InferOutput<typeof callAnswerSchema>;
