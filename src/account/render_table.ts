import type { Account, AccountDay, AccountRow } from "./account.ts";

const COLUMN_GAP = "  ";
const HEADINGS = [
  "customer",
  "agreement",
  "unit",
  "used",
  "agreed",
  "overuse",
  "lent",
];
/** The first columns hold text, the others numbers. */
const TEXT_COLUMNS = 3;
const UNOBSERVED = "unobserved";

/**
 * Renders an account as a table in plain text, with the observed and the
 * unobserved time above it.
 *
 * @example
 * ```ts
 * console.log(renderAccountTable(account));
 * ```
 *
 * @returns lines that end with a line feed; amounts are in the unit named
 */
export function renderAccountTable(account: Account): string {
  const rows = [HEADINGS, ...account.rows.map(cellsOf)];
  const widths = HEADINGS.map((_, index) =>
    Math.max(...rows.map((row) => row[index]?.length ?? 0))
  );
  const lines = [
    ...headLines(account),
    "",
    ...rows.map((row) => renderRow(row, widths)),
  ];
  return lines.map((line) => `${line}\n`).join("");
}

function headLines(account: Account): string[] {
  const state = account.closed ? "closed" : "so far";
  const lines = [
    `Account ${account.month}, ${state}, as of ${account.asOf}`,
    coverageLine(account),
  ];
  const gaps = account.days.filter(({ unobservedHours }) =>
    unobservedHours > 0
  );
  if (gaps.length > 0) lines.push(`Unobserved: ${gaps.map(gapOf).join(", ")}.`);
  if (!account.complete) {
    lines.push("The records of some domains could not be read.");
  }
  return lines;
}

function coverageLine(account: Account): string {
  const { observedHours, unobservedHours } = account;
  if (observedHours === 0) return "No use was observed.";
  const total = observedHours + unobservedHours;
  const percent = (100 * observedHours / total).toFixed(1);
  return `Observed ${fixed(observedHours)} of ${fixed(total)} ` +
    `domain-hours (${percent} %).`;
}

function gapOf(day: AccountDay): string {
  return `${day.day} ${fixed(day.unobservedHours)} h`;
}

function cellsOf(row: AccountRow): string[] {
  return [
    row.customer,
    row.agreement,
    row.unit,
    row.used === undefined ? UNOBSERVED : fixed(row.used),
    fixed(row.agreed),
    row.overuse === undefined ? "" : fixed(row.overuse),
    row.lent === undefined ? "" : fixed(row.lent),
  ];
}

function renderRow(row: string[], widths: number[]): string {
  return row
    .map((cell, index) => {
      const width = widths[index] ?? 0;
      const isText = index < TEXT_COLUMNS;
      return isText ? cell.padEnd(width) : cell.padStart(width);
    })
    .join(COLUMN_GAP)
    .trimEnd();
}

function fixed(value: number): string {
  return value.toFixed(3);
}
