import type { Randomness } from "../hosts/mod.ts";

/** The delays between attempts. */
export type BackoffOptions = {
  /** Longest delay before the first retry, in milliseconds. */
  firstMs: number;
  /** Longest delay before any retry, in milliseconds. */
  maxMs: number;
};

/** Doublings after which every sensible maximum has been reached. */
const MAX_DOUBLINGS = 30;

/**
 * Chooses the delay before a retry: exponential, with the upper half random,
 * so that callers that failed together do not come back together.
 *
 * @example
 * ```ts
 * const delayMs = backoffDelayMs({ firstMs: 100, maxMs: 5_000 }, 1, random);
 * ```
 *
 * @param retry number of the retry, from 1
 * @returns the delay in whole milliseconds
 */
export function backoffDelayMs(
  options: BackoffOptions,
  retry: number,
  randomness: Randomness,
): number {
  const doublings = Math.min(Math.max(0, retry - 1), MAX_DOUBLINGS);
  const longestMs = Math.min(options.maxMs, options.firstMs * 2 ** doublings);
  return randomness.integer(Math.ceil(longestMs / 2), Math.floor(longestMs));
}
