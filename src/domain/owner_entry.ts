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
  /**
   * How long after the last such answer its leases end at the latest, and how
   * long after the last confirmation of its ownership by the store, in
   * milliseconds; not in the records of owners without these limits.
   */
  leaseLimits: v.optional(v.object({
    witnessedMs: v.number(),
    confirmedMs: v.number(),
  })),
});

/** An owner that may still renew leases of the domain's workers. */
export type OwnerEntry = v.InferOutput<typeof ownerEntrySchema>;
