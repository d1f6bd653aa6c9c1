import * as v from "valibot";

/** Schema of an owner that may still renew leases of the domain's workers. */
export const ownerEntrySchema = v.object({
  /** Address of its instance. */
  instance: v.string(),
  epoch: v.number(),
});

/** An owner that may still renew leases of the domain's workers. */
export type OwnerEntry = v.InferOutput<typeof ownerEntrySchema>;
