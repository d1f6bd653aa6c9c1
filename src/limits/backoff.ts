import type { Randomness } from "../hosts/mod.ts";

/** Delays between attempts. */
export type BackoffOptions = {
  /** Maximum delay before the first retry, in milliseconds. */
  firstMs: number;
  /** Maximum delay before any retry, in milliseconds. */
  maxMs: number;
};

/** Upper bound of the exponent; any realistic maximum is reached earlier. */
const MAX_DOUBLINGS = 30;

/**
 * Computes the delay before a retry: exponential backoff with jitter over the
 * upper half, so that callers that failed together do not retry together.
 *
 * @example
 * ```ts
 * const delayMs = backoffDelayMs({ firstMs: 100, maxMs: 5_000 }, 1, random);
 * ```
 *
 * @param retry number of the retry, starting at 1
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
