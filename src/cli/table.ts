/** How the cells of a column are aligned. */
export type Alignment = "left" | "right";

/** A column of a table: its heading, and how a row's cell is rendered. */
export type Column<Row> = {
  heading: string;
  align?: Alignment;
  cell(row: Row): string;
};

const COLUMN_GAP = "  ";

/**
 * Renders rows as a table with a heading; each column is as wide as its
 * longest cell.
 *
 * @example
 * ```ts
 * renderTable([{ heading: "WORKER", cell: (row) => row.id }], workers);
 * ```
 *
 * @returns the lines, joined by line breaks, without trailing spaces
 */
export function renderTable<Row>(columns: Column<Row>[], rows: Row[]): string {
  const headings = columns.map(({ heading }) => heading);
  const lines = [
    headings,
    ...rows.map((row) => columns.map(({ cell }) => cell(row))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => line[index]?.length ?? 0))
  );
  return lines.map((line) => renderLine(columns, widths, line)).join("\n");
}

/**
 * Renders named values one per line, with the values aligned.
 *
 * @example
 * ```ts
 * renderFields([["instance", "kigali-1"], ["version", "7"]]);
 * ```
 */
export function renderFields(fields: [name: string, value: string][]): string {
  const width = Math.max(...fields.map(([name]) => name.length));
  return fields
    .map(([name, value]) => `${name.padEnd(width)}${COLUMN_GAP}${value}`)
    .join("\n");
}

function renderLine<Row>(
  columns: Column<Row>[],
  widths: number[],
  cells: string[],
): string {
  return cells
    .map((cell, index) => pad(cell, widths[index] ?? 0, columns[index]?.align))
    .join(COLUMN_GAP)
    .trimEnd();
}

function pad(
  text: string,
  width: number,
  alignment: Alignment = "left",
): string {
  return alignment === "right" ? text.padStart(width) : text.padEnd(width);
}
