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
/** Number of leading columns that hold text; the others hold numbers. */
const TEXT_COLUMN_COUNT = 3;
const UNOBSERVED = "unobserved";

/**
 * Renders an account as a table in plain text, preceded by its observed and
 * unobserved time.
 *
 * @example
 * ```ts
 * console.log(renderAccountTable(account));
 * ```
 *
 * @returns lines that end with a line feed; amounts are in the
 * unit of their row
 */
export function renderAccountTable(account: Account): string {
  const rows = [HEADINGS, ...account.rows.map(toCells)];
  const widths = HEADINGS.map((_, index) =>
    Math.max(...rows.map((row) => row[index]?.length ?? 0))
  );
  const lines = [
    ...summaryLines(account),
    "",
    ...rows.map((row) => renderRow(row, widths)),
  ];
  return lines.map((line) => `${line}\n`).join("");
}

function summaryLines(account: Account): string[] {
  const state = account.closed ? "closed" : "so far";
  const lines = [
    `Account ${account.month}, ${state}, as of ${account.asOf}`,
    coverageLine(account),
  ];
  const unobservedDays = account.days.filter(({ unobservedHours }) =>
    unobservedHours > 0
  );
  if (unobservedDays.length > 0) {
    lines.push(
      `Unobserved: ${unobservedDays.map(formatUnobservedDay).join(", ")}.`,
    );
  }
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
  return `Observed ${formatAmount(observedHours)} of ${formatAmount(total)} ` +
    `domain-hours (${percent} %).`;
}

function formatUnobservedDay(day: AccountDay): string {
  return `${day.day} ${formatAmount(day.unobservedHours)} h`;
}

function toCells(row: AccountRow): string[] {
  return [
    row.customer,
    row.agreement,
    row.unit,
    row.used === undefined ? UNOBSERVED : formatAmount(row.used),
    formatAmount(row.agreed),
    row.overuse === undefined ? "" : formatAmount(row.overuse),
    row.lent === undefined ? "" : formatAmount(row.lent),
  ];
}

function renderRow(row: string[], widths: number[]): string {
  return row
    .map((cell, index) => {
      const width = widths[index] ?? 0;
      const isText = index < TEXT_COLUMN_COUNT;
      return isText ? cell.padEnd(width) : cell.padStart(width);
    })
    .join(COLUMN_GAP)
    .trimEnd();
}

function formatAmount(value: number): string {
  return value.toFixed(3);
}
