/** A timer that fires later than this was held up by the process, in ms. */
const LATE_TIMER_THRESHOLD_MS = 25;

/**
 * How late a timer fires, if that is so much that the process was busy: what
 * has arrived meanwhile has not been read yet, so nothing may be concluded from
 * its absence. 0 where the timer is punctual.
 *
 * @param dueMs when it was due, on the clock of `performance`
 *
 * @example
 * ```ts
 * if (delayOf(dueMs) > 0) waitForOneMoreTurn();
 * ```
 */
export function timerDelayMs(dueMs: number): number {
  const lateMs = performance.now() - dueMs;
  return lateMs > LATE_TIMER_THRESHOLD_MS ? lateMs : 0;
}
