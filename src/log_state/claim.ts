import * as v from "valibot";

/** Schema of an idempotency key bound to a request. */
export const claimSchema = v.object({
  customer: v.string(),
  key: v.string(),
  requestId: v.string(),
  /** Digest of the submission that came with the key. */
  digest: v.string(),
  /** When the claim was made, on the clock of the log's entries. */
  atMs: v.number(),
});

/** An idempotency key bound to a request. */
export type Claim = v.InferOutput<typeof claimSchema>;
