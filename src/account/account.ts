import * as v from "valibot";
import { RESOURCE_NAMES } from "../model/mod.ts";

/** The unit in which the account reports each resource. */
export const ACCOUNT_UNITS = {
  cpuMillis: "core-hours",
  memoryMb: "GiB-hours",
  accelerators: "accelerator-hours",
} as const;

/** Schema of a row of the account. */
export const accountRowSchema = v.object({
  customer: v.string(),
  agreement: v.string(),
  resource: v.picklist(RESOURCE_NAMES),
  unit: v.picklist(Object.values(ACCOUNT_UNITS)),
  /** Absent if no time was observed. */
  used: v.optional(v.number()),
  /** The agreed amount to date, according to the manifests in force. */
  agreed: v.number(),
  /** Usage above the agreed amount. */
  overuse: v.optional(v.number()),
  /**
   * The part of the unused amount that covered the overuse of other
   * agreements, distributed in proportion to each agreement's unused amount.
   */
  lent: v.optional(v.number()),
});

/** Usage of one resource by one agreement, compared to the agreed amount. */
export type AccountRow = v.InferOutput<typeof accountRowSchema>;

/** Schema of a day of the account. */
export const accountDaySchema = v.object({
  /** The day in UTC, such as `2026-12-04`. */
  day: v.string(),
  /** Time in which owners metered usage, summed over domains, in hours. */
  observedHours: v.number(),
  /** Time in which no owner metered usage, summed over domains, in hours. */
  unobservedHours: v.number(),
});

/** Observed and unobserved time of one day. */
export type AccountDay = v.InferOutput<typeof accountDaySchema>;

/** Schema of the account of one month. */
export const accountSchema = v.object({
  /** Year and month, such as `2026-12`. */
  month: v.string(),
  /** End of the accounted time, in ISO 8601. */
  asOf: v.string(),
  /** Whether the month has ended. */
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
