import * as v from "valibot";
import { RESOURCE_NAMES } from "../model/mod.ts";

/** The unit in which each resource is accounted. */
export const ACCOUNT_UNITS = {
  cpuMillis: "core-hours",
  memoryMb: "GiB-hours",
  accelerators: "accelerator-hours",
} as const;

/** Schema of a line of the account. */
export const accountRowSchema = v.object({
  customer: v.string(),
  agreement: v.string(),
  resource: v.picklist(RESOURCE_NAMES),
  unit: v.picklist(Object.values(ACCOUNT_UNITS)),
  /** Absent where no time was observed. */
  used: v.optional(v.number()),
  /** What the manifests in force agreed so far. */
  agreed: v.number(),
  /** What was used above the agreed amount. */
  overuse: v.optional(v.number()),
  /**
   * The part of the unused amount that covered the overuse of others, in
   * proportion to what each agreement left unused.
   */
  lent: v.optional(v.number()),
});

/** What one agreement used of one resource, against what was agreed. */
export type AccountRow = v.InferOutput<typeof accountRowSchema>;

/** Schema of a day of the account. */
export const accountDaySchema = v.object({
  /** The day in UTC, such as `2026-12-04`. */
  day: v.string(),
  /** Time for which owners added up use, summed over domains, in hours. */
  observedHours: v.number(),
  /** Time for which nobody did, in hours. */
  unobservedHours: v.number(),
});

/** How much of a day was observed. */
export type AccountDay = v.InferOutput<typeof accountDaySchema>;

/** Schema of the account of one month. */
export const accountSchema = v.object({
  /** Year and month, such as `2026-12`. */
  month: v.string(),
  /** Time up to which the account reaches, in ISO 8601. */
  asOf: v.string(),
  /** Whether the month is over. */
  closed: v.boolean(),
  /** Whether the records of every domain could be read. */
  complete: v.boolean(),
  observedHours: v.number(),
  unobservedHours: v.number(),
  days: v.array(accountDaySchema),
  rows: v.array(accountRowSchema),
});

/** The account of one month. */
export type Account = v.InferOutput<typeof accountSchema>;
