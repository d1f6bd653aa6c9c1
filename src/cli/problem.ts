import * as v from "valibot";

/** Schema of a problem document (RFC 9457) as an entry instance sends it. */
export const problemSchema = v.object({
  /** Number of the diagnostic. */
  code: v.number(),
  title: v.string(),
  detail: v.string(),
  /** False where it is certain that nothing ran. */
  ran: v.optional(v.literal(false)),
});

/** A problem document as an entry instance sends it. */
export type Problem = v.InferOutput<typeof problemSchema>;
