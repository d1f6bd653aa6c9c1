import type { Account } from "./account.ts";

const HEADINGS = [
  "month",
  "as_of",
  "customer",
  "agreement",
  "unit",
  "used",
  "agreed",
  "overuse",
  "lent",
  "observed_domain_hours",
  "unobserved_domain_hours",
];

/**
 * Renders an account as CSV (RFC 4180). Usage that was not observed becomes an
 * empty field.
 *
 * @example
 * ```ts
 * process.stdout.write(renderAccountCsv(account));
 * ```
 */
export function renderAccountCsv(account: Account): string {
  const rows = account.rows.map((row) => [
    account.month,
    account.asOf,
    row.customer,
    row.agreement,
    row.unit,
    row.used,
    row.agreed,
    row.overuse,
    row.lent,
    account.observedHours,
    account.unobservedHours,
  ]);
  return [HEADINGS, ...rows]
    .map((row) => row.map(formatField).join(",") + "\r\n")
    .join("");
}

function formatField(value: string | number | undefined): string {
  const text = value === undefined ? "" : String(value);
  return /[",\r\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}
