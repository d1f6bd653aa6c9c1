/**
 * Usage accounting: the resources that the tasks of each agreement allocate,
 * multiplied by time and summed by day.
 *
 * @module
 */
import * as v from "valibot";
import { dayLabel } from "../base/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import { usageKey } from "./record_keys.ts";
import {
  addResourceTime,
  resourceTimeSchema,
  zeroResourceTime,
} from "./resource_time.ts";

/** How often usage is recorded; a lost owner may omit this much, in ms. */
const USAGE_RECORD_INTERVAL_MS = 10_000;

/** Schema of the usage of a domain's jobs on one day. */
export const dayUsageSchema = v.object({
  /** Time during which an owner measured usage, in milliseconds. */
  observedMs: v.number(),
  /** Time without a measurement, such as a change of owner, in milliseconds. */
  unobservedMs: v.number(),
  /** End of the time covered by both, in milliseconds since the epoch. */
  untilMs: v.number(),
  /** Resource time by agreement. */
  used: v.record(v.string(), resourceTimeSchema),
});

/** The usage of a domain's jobs on one day. */
export type DayUsage = v.InferOutput<typeof dayUsageSchema>;

/**
 * Adds the resources that were allocated since the last event to the unrecorded
 * usage. Allocations change only with events, so the sum is exact.
 */
export function accrueUsage(domain: Domain, moment: Moment): void {
  const elapsedMs = moment.steadyMs -
    (domain.usageAccruedAtMs ?? moment.steadyMs);
  domain.usageAccruedAtMs = moment.steadyMs;
  if (elapsedMs <= 0) return;
  for (const [agreement, allocated] of domain.allocatedByAgreement) {
    const amount = domain.unrecordedUsage.get(agreement) ?? zeroResourceTime();
    addResourceTime(amount, {
      cpuMillisMs: allocated.cpuMillis * elapsedMs,
      memoryMbMs: allocated.memoryMb * elapsedMs,
      acceleratorMs: allocated.accelerators * elapsedMs,
    });
    domain.unrecordedUsage.set(agreement, amount);
  }
}

/**
 * Moves the unrecorded usage to the record of the day once
 * `USAGE_RECORD_INTERVAL_MS` has passed. A domain without jobs under an
 * agreement records nothing.
 */
export function recordUsage(domain: Domain, moment: Moment): void {
  const { steadyMs, wallMs } = moment;
  const sinceMs = domain.usageRecordedAtMs ?? steadyMs;
  domain.usageRecordedAtMs ??= steadyMs;
  const elapsedMs = steadyMs - sinceMs;
  if (elapsedMs < USAGE_RECORD_INTERVAL_MS) return;
  domain.usageRecordedAtMs = steadyMs;
  if (domain.unrecordedUsage.size === 0 && domain.usage.size === 0) return;
  const day = dayLabel(wallMs);
  const usage = domain.usage.get(day) ??
    { observedMs: 0, unobservedMs: 0, untilMs: 0, used: {} };
  const untilMs = lastRecordedAtMs(domain) ?? wallMs - elapsedMs;
  usage.observedMs += elapsedMs;
  usage.unobservedMs += Math.max(0, wallMs - untilMs - elapsedMs);
  usage.untilMs = wallMs;
  for (const [agreement, amount] of domain.unrecordedUsage) {
    addResourceTime(usage.used[agreement] ??= zeroResourceTime(), amount);
  }
  domain.unrecordedUsage.clear();
  domain.usage.set(day, usage);
  domain.dirtyKeys.add(usageKey(day));
}

/** Returns when this owner or an earlier one last recorded usage (wall). */
function lastRecordedAtMs(domain: Domain): number | undefined {
  const times = [...domain.usage.values()].map(({ untilMs }) => untilMs);
  return times.length === 0 ? undefined : Math.max(...times);
}
