/** Time reserved for one hop: network delay and clock error at both ends. */
export const HOP_ALLOWANCE_MS = 50;

/**
 * Computes the timeout to propagate to the next process. The remaining time is
 * sent rather than the deadline itself, because clocks differ.
 *
 * @example
 * ```ts
 * const timeoutMs = propagatedTimeoutMs(deadlineMs, clock.steadyMs());
 * if (timeoutMs === undefined) return refuse(diagnostics.deadlinePassed);
 * ```
 *
 * @param deadlineMs the deadline on this process's steady clock
 * @param nowMs the present time on this process's steady clock
 * @returns the timeout in whole milliseconds; undefined if too little time is
 * left for another hop
 */
export function propagatedTimeoutMs(
  deadlineMs: number,
  nowMs: number,
): number | undefined {
  const remainingMs = Math.floor(deadlineMs - nowMs - HOP_ALLOWANCE_MS);
  return remainingMs > 0 ? remainingMs : undefined;
}
