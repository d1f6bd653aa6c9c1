/**
 * Usage by day: what the closed hours of all workers add up to.
 *
 * @module
 */
import type { Manifest } from "../model/mod.ts";
import type {
  AgreementUsage,
  DayUsage,
  OpenHour,
  UsageState,
} from "./usage_state.ts";

/** Length of an hour, in milliseconds. */
export const HOUR_MS = 3_600_000;
/** Length of a day, in milliseconds. */
export const DAY_MS = 24 * HOUR_MS;

/**
 * Names an agreement of a customer, for use as a key.
 *
 * @example
 * ```ts
 * day.used.get(agreementName({ customer: "press", agreement: "desk" }));
 * ```
 */
export function agreementName(
  owner: { customer: string; agreement: string },
): string {
  return `${owner.customer}/${owner.agreement}`;
}

/**
 * Finds or creates the day that holds a time.
 *
 * @example
 * ```ts
 * dayOf(state.usage.days, hour.hourMs).observedMs;
 * ```
 *
 * @param atMs milliseconds since the epoch; days are those of UTC
 */
export function dayOf(days: Map<number, DayUsage>, atMs: number): DayUsage {
  const dayMs = Math.floor(atMs / DAY_MS) * DAY_MS;
  const known = days.get(dayMs);
  if (known !== undefined) return known;
  const created: DayUsage = {
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
 * Adds one hour of one worker to its day.
 *
 * @example
 * ```ts
 * addHour(state.usage.days, hour, HOUR_MS);
 * ```
 *
 * @param passedMs how much of the hour has passed, in milliseconds
 */
export function addHour(
  days: Map<number, DayUsage>,
  hour: OpenHour,
  passedMs: number,
): void {
  const day = dayOf(days, hour.hourMs);
  const observedMs = Math.min(HOUR_MS, sum(hour.observedMs.values()));
  day.observedMs += observedMs;
  day.unobservedMs += Math.max(0, passedMs - observedMs);
  for (const used of hour.usage.values()) addAgreement(day.used, used);
}

/**
 * Adds what a manifest agrees over a time to the days of that time.
 *
 * @example
 * ```ts
 * addAgreed(state.usage.days, oldManifest, sinceMs, state.clockMs);
 * ```
 */
export function addAgreed(
  days: Map<number, DayUsage>,
  manifest: Manifest | undefined,
  fromMs: number,
  toMs: number,
): void {
  let atMs = fromMs;
  while (manifest !== undefined && atMs < toMs) {
    const day = dayOf(days, atMs);
    const endMs = Math.min(toMs, day.dayMs + DAY_MS);
    for (const { customer, name, share } of manifest.agreements) {
      addAgreement(day.agreed, {
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

/**
 * Adds what the open hours hold so far, and what was agreed since the last
 * change of the manifest, to a copy of the closed days.
 *
 * @example
 * ```ts
 * const { usage, folded, clockMs } = state;
 * const days = daysSoFar(usage, folded.entry?.manifest, clockMs);
 * ```
 *
 * @param manifest the newest manifest that was folded from the log
 * @param clockMs the log's own time, in milliseconds since the epoch
 */
export function daysSoFar(
  usage: UsageState,
  manifest: Manifest | undefined,
  clockMs: number,
): Map<number, DayUsage> {
  const days = copyDays(usage.days);
  addAgreed(days, manifest, usage.agreedUpToMs ?? clockMs, clockMs);
  for (const its of usage.workers.values()) {
    let nextMs = its.lastClosedMs === undefined
      ? undefined
      : its.lastClosedMs + HOUR_MS;
    for (const hour of its.open) {
      for (let atMs = nextMs ?? hour.hourMs; atMs < hour.hourMs;) {
        dayOf(days, atMs).unobservedMs += HOUR_MS;
        atMs += HOUR_MS;
      }
      const passedMs = Math.max(0, clockMs - hour.hourMs);
      addHour(days, hour, Math.min(HOUR_MS, passedMs));
      nextMs = hour.hourMs + HOUR_MS;
    }
  }
  return days;
}

function copyDays(days: Map<number, DayUsage>): Map<number, DayUsage> {
  const copy = new Map<number, DayUsage>();
  for (const day of days.values()) {
    copy.set(day.dayMs, {
      ...day,
      used: copyAgreements(day.used),
      agreed: copyAgreements(day.agreed),
    });
  }
  return copy;
}

function copyAgreements(
  agreements: Map<string, AgreementUsage>,
): Map<string, AgreementUsage> {
  const copy = new Map<string, AgreementUsage>();
  for (const [name, used] of agreements) copy.set(name, { ...used });
  return copy;
}

function addAgreement(
  agreements: Map<string, AgreementUsage>,
  used: AgreementUsage,
): void {
  const name = agreementName(used);
  const known = agreements.get(name);
  if (known === undefined) {
    agreements.set(name, {
      customer: used.customer,
      agreement: used.agreement,
      cpuMillisMs: used.cpuMillisMs,
      memoryMbMs: used.memoryMbMs,
      acceleratorMs: used.acceleratorMs,
    });
    return;
  }
  known.cpuMillisMs += used.cpuMillisMs;
  known.memoryMbMs += used.memoryMbMs;
  known.acceleratorMs += used.acceleratorMs;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
