/** A calendar month in UTC. */
export type Month = {
  /** Year and month, such as `2026-12`. */
  label: string;
  /** Start of the month, in milliseconds since the epoch. */
  fromMs: number;
  /** Start of the next month, in milliseconds since the epoch. */
  toMs: number;
};

/**
 * Parses a month.
 *
 * @example
 * ```ts
 * parseMonth("2026-12")?.fromMs; // 2026-12-01T00:00:00Z
 * parseMonth("2026-13"); // undefined
 * ```
 *
 * @param label year and month, such as `2026-12`
 */
export function parseMonth(label: string): Month | undefined {
  const [, year, month] = /^(\d{4})-(0[1-9]|1[0-2])$/.exec(label) ?? [];
  if (year === undefined || month === undefined) return undefined;
  const monthIndex = Number(month) - 1;
  return {
    label,
    fromMs: Date.UTC(Number(year), monthIndex),
    toMs: Date.UTC(Number(year), monthIndex + 1),
  };
}
