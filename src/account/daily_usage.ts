/**
 * Daily usage: adds the resource time that domains used and manifests agreed to
 * the days that it falls on.
 *
 * @module
 */
import { DAY_MS } from "../base/mod.ts";
import { addResourceTime, type DayUsage } from "../domain/mod.ts";
import {
  formatAgreementKey,
  type Manifest,
  parseAgreementKey,
} from "../model/mod.ts";
import type { AgreementUsage, ClusterDayUsage } from "./cluster_day_usage.ts";

/** Length of an hour, in milliseconds. */
export const HOUR_MS = 3_600_000;

/**
 * Returns the usage of the day that contains a time; creates it if needed.
 *
 * @example
 * ```ts
 * getOrCreateDay(days, Date.now()).observedMs;
 * ```
 *
 * @param atMs milliseconds since the epoch; days are those of UTC
 */
export function getOrCreateDay(
  days: Map<number, ClusterDayUsage>,
  atMs: number,
): ClusterDayUsage {
  const dayMs = Math.floor(atMs / DAY_MS) * DAY_MS;
  const existing = days.get(dayMs);
  if (existing !== undefined) return existing;
  const created: ClusterDayUsage = {
    dayMs,
    observedMs: 0,
    unobservedMs: 0,
    used: new Map(),
    agreed: new Map(),
  };
  days.set(dayMs, created);
  return created;
}

/**
 * Adds the usage that one domain recorded for a day.
 *
 * @example
 * ```ts
 * addDomainUsage(days, "2026-12-04", usage);
 * ```
 */
export function addDomainUsage(
  days: Map<number, ClusterDayUsage>,
  label: string,
  usage: DayUsage,
): void {
  const day = getOrCreateDay(days, Date.parse(label));
  day.observedMs += usage.observedMs;
  day.unobservedMs += usage.unobservedMs;
  for (const [key, used] of Object.entries(usage.used)) {
    addAgreementUsage(day.used, { ...parseAgreementKey(key), ...used });
  }
}

/**
 * Adds the resource time that a manifest agrees over a period, its shares times
 * the duration, to the days of the period.
 *
 * @example
 * ```ts
 * accrueShares(days, manifest, sinceMs, Date.now());
 * ```
 */
export function accrueShares(
  days: Map<number, ClusterDayUsage>,
  manifest: Manifest,
  fromMs: number,
  toMs: number,
): void {
  let atMs = fromMs;
  while (atMs < toMs) {
    const day = getOrCreateDay(days, atMs);
    const endMs = Math.min(toMs, day.dayMs + DAY_MS);
    for (const { customer, name, share } of manifest.agreements) {
      addAgreementUsage(day.agreed, {
        customer,
        agreement: name,
        cpuMillisMs: share.cpuMillis * (endMs - atMs),
        memoryMbMs: share.memoryMb * (endMs - atMs),
        acceleratorMs: share.accelerators * (endMs - atMs),
      });
    }
    atMs = endMs;
  }
}

/** Adds resource time to the entry of its agreement. */
export function addAgreementUsage(
  agreements: Map<string, AgreementUsage>,
  added: AgreementUsage,
): void {
  const key = formatAgreementKey(added);
  const existing = agreements.get(key);
  if (existing === undefined) {
    agreements.set(key, { ...added });
    return;
  }
  addResourceTime(existing, added);
}
