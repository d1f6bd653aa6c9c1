/**
 * What agreements use: the room that their tasks hold, added up by day.
 *
 * @module
 */
import * as v from "valibot";
import { dayLabel } from "../base/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import { usageKey } from "./keys.ts";
import {
  addResourceTime,
  resourceTimeSchema,
  zeroResourceTime,
} from "./resource_time.ts";

/** How often use is recorded: what a lost owner may leave out, in ms. */
const USAGE_RECORD_INTERVAL_MS = 10_000;

/** Schema of what the jobs of a domain used on one day. */
export const dayUsageSchema = v.object({
  /** For how long an owner has added up use, in milliseconds. */
  observedMs: v.number(),
  /** For how long nobody has, as around a change of owner, in milliseconds. */
  unobservedMs: v.number(),
  /** Until when the two reach, in milliseconds since the epoch. */
  untilMs: v.number(),
  /** By agreement. */
  used: v.record(v.string(), resourceTimeSchema),
});

/** What the jobs of a domain used on one day. */
export type DayUsage = v.InferOutput<typeof dayUsageSchema>;

/**
 * Adds the room that has been held since the last event to what waits to be
 * recorded. Room changes only with events, so that nothing is estimated.
 */
export function accrueUsage(domain: Domain, moment: Moment): void {
  const elapsedMs = moment.steadyMs -
    (domain.usageAccruedAtMs ?? moment.steadyMs);
  domain.usageAccruedAtMs = moment.steadyMs;
  if (elapsedMs <= 0) return;
  for (const [agreement, room] of domain.reservedByAgreement) {
    const use = domain.unrecordedUsage.get(agreement) ?? zeroResourceTime();
    addResourceTime(use, {
      cpuMillisMs: room.cpuMillis * elapsedMs,
      memoryMbMs: room.memoryMb * elapsedMs,
      acceleratorMs: room.accelerators * elapsedMs,
    });
    domain.unrecordedUsage.set(agreement, use);
  }
}

/**
 * Records what has been used since the last time, if that is long enough ago.
 * A domain none of whose jobs belongs to an agreement records nothing.
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
  for (const [agreement, use] of domain.unrecordedUsage) {
    addResourceTime(usage.used[agreement] ??= zeroResourceTime(), use);
  }
  domain.unrecordedUsage.clear();
  domain.usage.set(day, usage);
  domain.dirtyKeys.add(usageKey(day));
}

/** When use was last recorded, by this owner or an earlier one. */
function lastRecordedAtMs(domain: Domain): number | undefined {
  const times = [...domain.usage.values()].map(({ untilMs }) => untilMs);
  return times.length === 0 ? undefined : Math.max(...times);
}
