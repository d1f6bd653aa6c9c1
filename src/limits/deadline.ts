/** What a call to the next process may take, on the way and on both clocks. */
export const HOP_ALLOWANCE_MS = 50;

/**
 * Computes how much time to pass along to the next process. Remaining times
 * travel, not points in time, since clocks differ.
 *
 * @example
 * ```ts
 * const passedMs = passedTimeMs(deadlineMs, clock.steadyMs());
 * if (passedMs === undefined) return refuse(diagnostics.deadlinePassed);
 * ```
 *
 * @param deadlineMs the deadline on this process's steady clock
 * @param nowMs this process's steady clock
 * @returns undefined where too little time is left for another hop
 */
export function propagatedTimeoutMs(
  deadlineMs: number,
  nowMs: number,
): number | undefined {
  const remainingMs = Math.floor(deadlineMs - nowMs - HOP_ALLOWANCE_MS);
  return remainingMs > 0 ? remainingMs : undefined;
}
