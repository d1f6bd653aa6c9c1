import { DAY_MS, dayLabel } from "../base/mod.ts";
import type { AgreedResourceTimes, ManifestRecords } from "../manifest/mod.ts";
import { splitAgreementName } from "../model/mod.ts";
import type { ClusterDayUsage } from "./cluster_day_usage.ts";
import {
  accrueShares,
  addAgreementUsage,
  getOrCreateDay,
} from "./daily_usage.ts";

/**
 * Adds what was agreed until a time: what the records hold up to the last
 * change, and what the manifest in force agrees since.
 *
 * @example
 * ```ts
 * addAgreedUntil(days, records, Date.now());
 * ```
 */
export function accrueAgreedTime(
  days: Map<number, ClusterDayUsage>,
  records: ManifestRecords,
  nowMs: number,
): void {
  for (const [label, agreements] of records.agreed) {
    const day = getOrCreateDay(days, Date.parse(label));
    for (const [name, amounts] of Object.entries(agreements)) {
      addAgreementUsage(day.agreed, {
        ...splitAgreementName(name),
        ...amounts,
      });
    }
  }
  const { inForce } = records;
  if (inForce !== undefined) {
    accrueShares(days, inForce.manifest, inForce.atMs, nowMs);
  }
}

/**
 * What was agreed until a time, as records hold it, for the days since the
 * last change.
 *
 * @example
 * ```ts
 * const agreed = agreedUntil(records, Date.now());
 * ```
 */
export function agreedTimeByDay(
  records: ManifestRecords,
  nowMs: number,
): Map<string, AgreedResourceTimes> {
  const days = new Map<number, ClusterDayUsage>();
  accrueAgreedTime(days, records, nowMs);
  const sinceMs = (records.inForce?.atMs ?? nowMs) - DAY_MS;
  const agreed = new Map<string, AgreedResourceTimes>();
  for (const { dayMs, agreed: agreements } of days.values()) {
    if (dayMs < sinceMs) continue;
    const label = dayLabel(dayMs);
    const amounts: AgreedResourceTimes = {};
    for (const [name, amount] of agreements) {
      const { cpuMillisMs, memoryMbMs, acceleratorMs } = amount;
      amounts[name] = { cpuMillisMs, memoryMbMs, acceleratorMs };
    }
    agreed.set(label, amounts);
  }
  return agreed;
}
