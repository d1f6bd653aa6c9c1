import type { Clock } from "../hosts/mod.ts";
import { currentInstant, type Instant } from "./instant.ts";

/** Differences between the clocks up to this are not taken for a step, in ms. */
export const CLOCK_TOLERANCE_MS = 200;

/** Number of steps between the clocks that are remembered. */
const MAX_STEPS = 32;

/** The difference between the clocks, seen at a time on the steady clock. */
type Observation = { steadyMs: number; offsetMs: number };

/** How the wall clock has moved against the steady clock. */
export type ClockHistory = {
  /**
   * Compares the clocks. A suspension and a later step of the wall clock back are
   * told apart only if this is called in between.
   */
  observe(): void;
  /**
   * The time since an instant, in milliseconds, with all suspensions since;
   * Infinity if the wall clock has been set back since, which may hide one.
   */
  elapsedMs(since: Instant): number;
};

/**
 * Creates a history that begins now.
 *
 * @example
 * ```ts
 * const history = createClockHistory(clock);
 * const ageMs = history.elapsedMs(sentAt);
 * ```
 */
export function createClockHistory(clock: Clock): ClockHistory {
  const observations: Observation[] = [];
  /** Steps up to this time on the steady clock are forgotten. */
  let forgottenUntilMs = -Infinity;

  function observe(): Instant {
    const now = currentInstant(clock);
    const offsetMs = offsetOf(now);
    const last = observations.at(-1);
    const hasMoved = last === undefined ||
      Math.abs(offsetMs - last.offsetMs) > CLOCK_TOLERANCE_MS;
    if (!hasMoved) return now;
    observations.push({ steadyMs: now.steadyMs, offsetMs });
    if (observations.length > MAX_STEPS) {
      forgottenUntilMs = observations.shift()?.steadyMs ?? forgottenUntilMs;
    }
    return now;
  }
  observe();

  return {
    observe,
    elapsedMs(since) {
      const now = observe();
      if (since.steadyMs <= forgottenUntilMs) return Infinity;
      const firstOffsetMs = offsetOf(since);
      let highestOffsetMs = firstOffsetMs;
      const offsets = observations
        .filter(({ steadyMs }) => steadyMs >= since.steadyMs)
        .map(({ offsetMs }) => offsetMs);
      for (const offsetMs of [...offsets, offsetOf(now)]) {
        if (offsetMs < highestOffsetMs - CLOCK_TOLERANCE_MS) return Infinity;
        highestOffsetMs = Math.max(highestOffsetMs, offsetMs);
      }
      return now.steadyMs - since.steadyMs + highestOffsetMs - firstOffsetMs;
    },
  };
}

function offsetOf({ steadyMs, wallMs }: Instant): number {
  return wallMs - steadyMs;
}
