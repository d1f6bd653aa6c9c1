/** Length of a day, in milliseconds. */
export const DAY_MS = 86_400_000;

/**
 * Formats the UTC date of a time as YYYY-MM-DD.
 *
 * @example
 * ```ts
 * dayLabel(Date.UTC(2026, 11, 4, 13)); // "2026-12-04"
 * ```
 *
 * @param atMs milliseconds since the epoch
 */
export function dayLabel(atMs: number): string {
  return new Date(atMs).toISOString().slice(0, "2026-12-04".length);
}
