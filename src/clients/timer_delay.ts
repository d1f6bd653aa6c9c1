/** A timer later than this means that the event loop was blocked, in ms. */
const LATE_TIMER_THRESHOLD_MS = 25;

/**
 * Returns how late a timer fired, in milliseconds, or 0 within the threshold.
 * A late timer means that the event loop was blocked: data that arrived
 * meanwhile is still unread, so its absence proves nothing.
 *
 * @param dueMs when the timer was due, in milliseconds of `performance.now()`
 *
 * @example
 * ```ts
 * if (timerDelayMs(dueMs) > 0) extendTimeout();
 * ```
 */
export function timerDelayMs(dueMs: number): number {
  const lateMs = performance.now() - dueMs;
  return lateMs > LATE_TIMER_THRESHOLD_MS ? lateMs : 0;
}
