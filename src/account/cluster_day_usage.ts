import type { ResourceTime } from "../domain/mod.ts";

/** What one agreement used, or what was agreed with it. */
export type AgreementUsage = ResourceTime & {
  customer: string;
  agreement: string;
};

/** What all domains together did on one day (UTC). */
export type ClusterDayUsage = {
  /** Start of the day, in milliseconds since the epoch. */
  dayMs: number;
  /** Time for which owners added up use, in milliseconds. */
  observedMs: number;
  /** Time for which nobody did, in milliseconds. */
  unobservedMs: number;
  /** What was used, by customer and agreement. */
  used: Map<string, AgreementUsage>;
  /** What the manifests in force agreed, by customer and agreement. */
  agreed: Map<string, AgreementUsage>;
};
