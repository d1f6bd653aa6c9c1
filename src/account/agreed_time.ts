import { DAY_MS, dayLabel } from "../base/mod.ts";
import type { AgreedResourceTimes, ManifestRecords } from "../manifest/mod.ts";
import { parseAgreementKey } from "../model/mod.ts";
import type { ClusterDayUsage } from "./cluster_day_usage.ts";
import {
  accrueShares,
  addAgreementUsage,
  getOrCreateDay,
} from "./daily_usage.ts";

/**
 * Adds the resource time agreed up to `nowMs` to the days: the recorded amounts
 * up to the last manifest change, and the shares of the manifest in force since
 * then.
 *
 * @example
 * ```ts
 * accrueAgreedTime(days, records, Date.now());
 * ```
 */
export function accrueAgreedTime(
  days: Map<number, ClusterDayUsage>,
  records: ManifestRecords,
  nowMs: number,
): void {
  for (const [label, agreements] of records.agreed) {
    const day = getOrCreateDay(days, Date.parse(label));
    for (const [key, amounts] of Object.entries(agreements)) {
      addAgreementUsage(day.agreed, {
        ...parseAgreementKey(key),
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
 * Computes the resource time agreed up to `nowMs` for each day since the last
 * manifest change, by day label and agreement key, as the records store it.
 *
 * @example
 * ```ts
 * const agreed = agreedTimeByDay(records, Date.now());
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
    for (const [key, amount] of agreements) {
      const { cpuMillisMs, memoryMbMs, acceleratorMs } = amount;
      amounts[key] = { cpuMillisMs, memoryMbMs, acceleratorMs };
    }
    agreed.set(label, amounts);
  }
  return agreed;
}
