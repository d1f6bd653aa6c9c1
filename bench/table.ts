/**
 * Prints tables of text.
 *
 * @module
 */

/** Formats rows as columns of equal width; the first row is the heading. */
export function formatTable(rows: string[][]): string {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, i) => {
      widths[i] = Math.max(widths[i] ?? 0, cell.length);
    });
  }
  return rows.map((row) => formatRow(row, widths)).join("\n");
}

function formatRow(row: string[], widths: number[]): string {
  return row.map((cell, i) => cell.padEnd(widths[i]!)).join("  ").trimEnd();
}
