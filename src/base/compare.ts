/**
 * Compares two strings by code unit, independent of machine and locale.
 *
 * @example
 * ```ts
 * ["b", "a"].sort(compareStrings); // ["a", "b"]
 * ```
 *
 * @returns a negative number, zero or a positive number, as `sort` expects
 */
export function compareStrings(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
