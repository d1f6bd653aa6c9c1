import type { Clock } from "../hosts/mod.ts";

/** A point in time on both the steady clock and the wall clock. */
export type Instant = { steadyMs: number; wallMs: number };

/** An instant before all others. */
export const DISTANT_PAST: Instant = { steadyMs: -Infinity, wallMs: -Infinity };

/**
 * The current instant.
 *
 * @example
 * ```ts
 * const sentAt = currentInstant(clock);
 * ```
 */
export function currentInstant(clock: Clock): Instant {
  return { steadyMs: clock.steadyMs(), wallMs: clock.nowMs() };
}

/**
 * The time since an instant, in milliseconds. A steady clock stops while a
 * machine is suspended, and a wall clock may be set back, so the longer of the
 * two durations counts.
 */
export function elapsedMs(clock: Clock, since: Instant): number {
  return Math.max(
    clock.steadyMs() - since.steadyMs,
    clock.nowMs() - since.wallMs,
  );
}
