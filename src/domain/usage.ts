/**
 * What agreements use: the room that their tasks hold, added up by day.
 *
 * @module
 */
import * as v from "valibot";
import type { Resources } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import { usageKey } from "./keys.ts";

/** Length of a day, in milliseconds. */
const DAY_MS = 86_400_000;
/** How often use is added up and recorded, in milliseconds. */
const ACCRUAL_MS = 10_000;

/** Schema of amounts of the resources, added up over a time. */
export const resourceTimeSchema = v.object({
  /** Thousandths of a core times milliseconds. */
  cpuMillisMs: v.number(),
  /** MiB times milliseconds. */
  memoryMbMs: v.number(),
  /** Accelerators times milliseconds. */
  acceleratorMs: v.number(),
});

/** Amounts of the resources, added up over a time. */
export type ResourceTime = v.InferOutput<typeof resourceTimeSchema>;

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
 * Adds up what has been used since the last time, if that is long enough ago.
 * A domain none of whose jobs belongs to an agreement records nothing.
 */
export function accrueUsage(domain: Domain, moment: Moment): void {
  const { steadyMs, wallMs } = moment;
  const sinceMs = domain.accruedAtMs ?? steadyMs;
  domain.accruedAtMs ??= steadyMs;
  const elapsedMs = steadyMs - sinceMs;
  if (elapsedMs < ACCRUAL_MS) return;
  domain.accruedAtMs = steadyMs;
  const held = roomByAgreement(domain);
  if (held.size === 0 && domain.usage.size === 0) return;
  const day = dayOf(wallMs);
  const usage = domain.usage.get(day) ??
    { observedMs: 0, unobservedMs: 0, untilMs: 0, used: {} };
  const untilMs = lastAccrualMs(domain) ?? wallMs - elapsedMs;
  usage.observedMs += elapsedMs;
  usage.unobservedMs += Math.max(0, wallMs - untilMs - elapsedMs);
  usage.untilMs = wallMs;
  for (const [agreement, room] of held) {
    const known = usage.used[agreement] ??= {
      cpuMillisMs: 0,
      memoryMbMs: 0,
      acceleratorMs: 0,
    };
    known.cpuMillisMs += room.cpuMillis * elapsedMs;
    known.memoryMbMs += room.memoryMb * elapsedMs;
    known.acceleratorMs += room.accelerators * elapsedMs;
  }
  domain.usage.set(day, usage);
  domain.dirty.add(usageKey(day));
}

/** When use was last recorded, by this owner or an earlier one. */
function lastAccrualMs(domain: Domain): number | undefined {
  const times = [...domain.usage.values()].map(({ untilMs }) => untilMs);
  return times.length === 0 ? undefined : Math.max(...times);
}

/** The room that the placed tasks of each agreement hold. */
export function roomByAgreement(domain: Domain): Map<string, Resources> {
  const held = new Map<string, Resources>();
  for (const worker of domain.workers.values()) {
    for (const { run, reserved } of worker.placed.values()) {
      const { agreement } = run.job.job.policy;
      if (agreement === undefined) continue;
      const known = held.get(agreement);
      held.set(agreement, {
        cpuMillis: (known?.cpuMillis ?? 0) + reserved.cpuMillis,
        memoryMb: (known?.memoryMb ?? 0) + reserved.memoryMb,
        accelerators: (known?.accelerators ?? 0) + reserved.accelerators,
      });
    }
  }
  return held;
}

/** The day (UTC) of a time, such as `2026-12-04`. */
function dayOf(wallMs: number): string {
  const dayMs = Math.floor(wallMs / DAY_MS) * DAY_MS;
  return new Date(dayMs).toISOString().slice(0, "2026-12-04".length);
}
