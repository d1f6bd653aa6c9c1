/** Factor by which a membership that the store rejects is lengthened. */
const LENGTHENING = 1.25;
/** The longest membership that is tried, in ms; a lost owner is missed as long. */
const MAX_TTL_MS = 60_000;

/**
 * Returns the membership to ask for after the store has rejected one, in whole
 * milliseconds. Stores accept none below a minimum that only they know. Beyond
 * the longest one the search starts over, since the time is not what the store
 * rejects.
 *
 * @example
 * ```ts
 * nextTtlMs(1_300, 1_300); // 1_625
 * ```
 *
 * @param rejectedMs the membership that was rejected, in milliseconds
 * @param setMs the membership as set, in milliseconds
 */
export function nextTtlMs(rejectedMs: number, setMs: number): number {
  const longerMs = Math.ceil(rejectedMs * LENGTHENING);
  return longerMs <= MAX_TTL_MS ? longerMs : setMs;
}
