import type { TimeLineEvent } from "../model/mod.ts";

const COLUMN_GAP = "  ";

/**
 * Renders merged events as a table in plain text, one event per line.
 *
 * @example
 * ```ts
 * console.log(renderTimeLineText(mergeTimeLines(lists)));
 * ```
 *
 * @returns lines that end with a line feed; times are in UTC
 */
export function renderTimeLineText(events: TimeLineEvent[]): string {
  const rows = [
    ["order", "time", "process", "event", "subject", "detail"],
    ...events.map(toCells),
  ];
  const widths = columnWidths(rows);
  return rows.map((row) => renderRow(row, widths) + "\n").join("");
}

function toCells(event: TimeLineEvent): string[] {
  return [
    String(event.lamport),
    new Date(event.atMs).toISOString().slice("2026-12-01T".length, -1),
    event.process,
    event.name,
    event.subject ?? "",
    event.detail ?? "",
  ];
}

function columnWidths(rows: string[][]): number[] {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, index) => {
      widths[index] = Math.max(widths[index] ?? 0, cell.length);
    });
  }
  return widths;
}

function renderRow(row: string[], widths: number[]): string {
  return row
    .map((cell, index) => {
      const width = widths[index] ?? 0;
      return index === 0 ? cell.padStart(width) : cell.padEnd(width);
    })
    .join(COLUMN_GAP)
    .trimEnd();
}
