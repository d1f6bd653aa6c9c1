import type { Clock } from "../hosts/mod.ts";

/**
 * A difference between the clocks that is not taken for a suspension, in ms: they
 * run at slightly different rates.
 */
const MAX_CLOCK_DIFFERENCE_MS = 200;

/** Measures for how long the process was suspended. */
export type SuspensionMeter = {
  /**
   * The total duration of the suspensions since the meter was created, in
   * milliseconds. It never decreases; up to 200 ms are not noticed.
   */
  totalMs(): number;
};

/**
 * Creates a meter. The steady clock stops during a suspension, and the wall
 * clock does not.
 *
 * @example
 * ```ts
 * const suspensions = createSuspensionMeter(clock);
 * const elapsedMs = clock.steadyMs() + suspensions.totalMs();
 * ```
 */
export function createSuspensionMeter(clock: Clock): SuspensionMeter {
  const offsetMs = () => clock.nowMs() - clock.steadyMs();
  let expectedOffsetMs = offsetMs();
  let totalMs = 0;
  return {
    totalMs() {
      const excessMs = offsetMs() - expectedOffsetMs;
      if (excessMs > MAX_CLOCK_DIFFERENCE_MS) totalMs += excessMs;
      if (excessMs < 0 || excessMs > MAX_CLOCK_DIFFERENCE_MS) {
        expectedOffsetMs = offsetMs();
      }
      return totalMs;
    },
  };
}
