import type { ResourceTime } from "../domain/mod.ts";

/** Used or agreed resource time of one agreement. */
export type AgreementUsage = ResourceTime & {
  customer: string;
  agreement: string;
};

/** Usage of one day (UTC), summed over all domains, and the agreed amounts. */
export type ClusterDayUsage = {
  /** Start of the day, in milliseconds since the epoch. */
  dayMs: number;
  /** Time in which owners metered usage, in milliseconds. */
  observedMs: number;
  /** Time in which no owner metered usage, in milliseconds. */
  unobservedMs: number;
  /** Used resource time, by agreement key. */
  used: Map<string, AgreementUsage>;
  /** Resource time agreed in the manifests, by agreement key. */
  agreed: Map<string, AgreementUsage>;
};
