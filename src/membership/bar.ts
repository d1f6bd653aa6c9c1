import * as v from "valibot";

/** Schema of a bar in a heartbeat. */
export const barSchema = v.object({
  /** `instance/incarnation` of the barred incarnation. */
  holder: v.string(),
  /** The zone of the barred incarnation. */
  zone: v.string(),
  /** When the bar was made, on the steady clock of the sender, in ms. */
  sinceMs: v.number(),
  /** Workers held by the sender that have not acknowledged the bar yet. */
  pending: v.array(v.string()),
});

/** A barred incarnation, and which of the sender's workers lack the bar. */
export type Bar = v.InferOutput<typeof barSchema>;
