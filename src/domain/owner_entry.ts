import * as v from "valibot";

/** Schema of an owner that may still renew leases of the domain's workers. */
export const ownerEntrySchema = v.object({
  /** Address of its instance. */
  instance: v.string(),
  epoch: v.number(),
  /**
   * For how long it grants leases without an answer of the store, or of most
   * workers with a start permit, in milliseconds; not in the records of owners
   * that do not need such answers.
   */
  unwitnessedGrantMs: v.optional(v.number()),
});

/** An owner that may still renew leases of the domain's workers. */
export type OwnerEntry = v.InferOutput<typeof ownerEntrySchema>;
