/**
 * Prints tables of figures.
 *
 * @module
 */
import { fitLine, type Point } from "./fit_line.ts";

const COLUMN_GAP = "  ";
const SIGNIFICANT_DIGITS = 4;

/** A row: one size, and what was measured at it, by name. */
export type Row = { size: number; values: Record<string, number> };

/** Prints the rows under a title, with the fitted base and slope below. */
export function printTable(title: string, unit: string, rows: Row[]): void {
  const names = Object.keys(rows[0]?.values ?? {});
  const lines = [[unit, ...names]];
  for (const { size, values } of rows) {
    lines.push([String(size), ...names.map((name) => format(values[name]))]);
  }
  const fits = names.map((name) =>
    fitLine(rows.map(({ size, values }): Point => ({
      x: size,
      y: values[name] ?? Number.NaN,
    })))
  );
  lines.push(["base", ...fits.map(({ base }) => format(base))]);
  lines.push(["slope", ...fits.map(({ slope }) => format(slope))]);
  const widths = lines[0]!.map((_, index) =>
    Math.max(...lines.map((line) => line[index]?.length ?? 0))
  );
  console.log(`\n${title}`);
  for (const line of lines) {
    const cells = line.map((cell, index) => cell.padStart(widths[index] ?? 0));
    console.log(cells.join(COLUMN_GAP));
  }
}

function format(value: number | undefined): string {
  if (value === undefined) return "";
  return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}
