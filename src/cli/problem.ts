import * as v from "valibot";

/** Schema of the problem documents (RFC 9457) that entry instances send. */
export const problemSchema = v.object({
  /** Number of the diagnostic. */
  code: v.number(),
  title: v.string(),
  detail: v.string(),
  /** False if it is certain that nothing ran. */
  ran: v.optional(v.literal(false)),
});

/** A problem document (RFC 9457) from an entry instance. */
export type Problem = v.InferOutput<typeof problemSchema>;
