import type { Clock } from "../hosts/mod.ts";

/** One moment on the steady clock and on the wall clock. */
export type Instant = { steadyMs: number; wallMs: number };

/** A moment before all others. */
export const DISTANT_PAST: Instant = { steadyMs: -Infinity, wallMs: -Infinity };

/**
 * The present moment.
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
 * How long ago a moment is, in milliseconds. A steady clock stands still
 * while a machine is suspended, and a wall clock may be set back, so the
 * longer of the two counts.
 */
export function elapsedMs(clock: Clock, since: Instant): number {
  return Math.max(
    clock.steadyMs() - since.steadyMs,
    clock.nowMs() - since.wallMs,
  );
}
