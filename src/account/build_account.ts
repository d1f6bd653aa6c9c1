import { compareStrings, dayLabel } from "../base/mod.ts";
import {
  addResourceTime,
  type ResourceTime,
  zeroResourceTime,
} from "../domain/mod.ts";
import { RESOURCE_NAMES, type ResourceName } from "../model/mod.ts";
import {
  type Account,
  ACCOUNT_UNITS,
  type AccountDay,
  type AccountRow,
} from "./account.ts";
import type { AgreementUsage, DayUsage } from "./day_usage.ts";
import type { Month } from "./month.ts";
import { HOUR_MS } from "./usage_days.ts";

const MILLIS_PER_CORE = 1_000;
const MIB_PER_GIB = 1_024;

/** What one agreement used and was agreed to have over the month. */
type AgreementTotal = {
  customer: string;
  agreement: string;
  used: ResourceTime;
  agreed: ResourceTime;
};

/** What an account is built from. */
export type AccountSource = {
  /** By start of the day, in milliseconds since the epoch. */
  days: Map<number, DayUsage>;
  /** Until when the days reach, in milliseconds since the epoch. */
  asOfMs: number;
  /** Whether the records of every domain could be read. */
  complete: boolean;
};

/**
 * Builds the account of a month from the records of the domains. The account
 * of a month that has not ended reaches up to now. Time that nobody observed
 * is shown as such; with none observed at all, no use is stated.
 *
 * @example
 * ```ts
 * const month = parseMonth("2026-12");
 * if (month !== undefined) renderAccountTable(buildAccount(source, month));
 * ```
 */
export function buildAccount(source: AccountSource, month: Month): Account {
  const { asOfMs, complete } = source;
  const days = [...source.days.values()]
    .filter(({ dayMs }) => dayMs >= month.fromMs && dayMs < month.toMs)
    .sort((left, right) => left.dayMs - right.dayMs);
  const observedMs = sumOf(days, ({ observedMs }) => observedMs);
  const unobservedMs = sumOf(days, ({ unobservedMs }) => unobservedMs);
  const totals = [...totalsOf(days).values()].sort(compareTotals);
  const isObserved = observedMs > 0;
  return {
    month: month.label,
    asOf: new Date(Math.min(asOfMs, month.toMs)).toISOString(),
    closed: asOfMs >= month.toMs,
    complete,
    observedHours: hours(observedMs),
    unobservedHours: hours(unobservedMs),
    days: days.map(dayOfAccount),
    rows: isObserved ? observedRows(totals) : unobservedRows(totals),
  };
}

function dayOfAccount(day: DayUsage): AccountDay {
  return {
    day: dayLabel(day.dayMs),
    observedHours: hours(day.observedMs),
    unobservedHours: hours(day.unobservedMs),
  };
}

function totalsOf(days: DayUsage[]): Map<string, AgreementTotal> {
  const totals = new Map<string, AgreementTotal>();
  for (const day of days) {
    for (const [name, used] of day.used) {
      addResourceTime(totalOf(totals, name, used).used, used);
    }
    for (const [name, agreed] of day.agreed) {
      addResourceTime(totalOf(totals, name, agreed).agreed, agreed);
    }
  }
  return totals;
}

function totalOf(
  totals: Map<string, AgreementTotal>,
  name: string,
  owner: AgreementUsage,
): AgreementTotal {
  const known = totals.get(name);
  if (known !== undefined) return known;
  const created = {
    customer: owner.customer,
    agreement: owner.agreement,
    used: zeroResourceTime(),
    agreed: zeroResourceTime(),
  };
  totals.set(name, created);
  return created;
}

function unobservedRows(totals: AgreementTotal[]): AccountRow[] {
  return rowsOf(totals, (total, resource) => ({
    customer: total.customer,
    agreement: total.agreement,
    resource,
    unit: ACCOUNT_UNITS[resource],
    agreed: amount(total.agreed, resource),
  }));
}

function observedRows(totals: AgreementTotal[]): AccountRow[] {
  const lending = new Map(
    RESOURCE_NAMES.map((name) => [name, lentPart(totals, name)] as const),
  );
  return rowsOf(totals, (total, resource) => {
    const used = amount(total.used, resource);
    const agreed = amount(total.agreed, resource);
    const unused = Math.max(0, agreed - used);
    return {
      customer: total.customer,
      agreement: total.agreement,
      resource,
      unit: ACCOUNT_UNITS[resource],
      used,
      agreed,
      overuse: round(Math.max(0, used - agreed)),
      lent: round(unused * (lending.get(resource) ?? 0)),
    };
  });
}

function rowsOf(
  totals: AgreementTotal[],
  build: (total: AgreementTotal, resource: ResourceName) => AccountRow,
): AccountRow[] {
  return totals.flatMap((total) =>
    RESOURCE_NAMES.map((resource) => build(total, resource))
  );
}

/** Which part of all that was left unused covered the overuse of others. */
function lentPart(totals: AgreementTotal[], resource: ResourceName): number {
  let overuse = 0;
  let unused = 0;
  for (const total of totals) {
    const used = amount(total.used, resource);
    const agreed = amount(total.agreed, resource);
    overuse += Math.max(0, used - agreed);
    unused += Math.max(0, agreed - used);
  }
  return unused === 0 ? 0 : Math.min(1, overuse / unused);
}

function amount(time: ResourceTime, resource: ResourceName): number {
  switch (resource) {
    case "cpuMillis":
      return hours(time.cpuMillisMs / MILLIS_PER_CORE);
    case "memoryMb":
      return hours(time.memoryMbMs / MIB_PER_GIB);
    case "accelerators":
      return hours(time.acceleratorMs);
  }
}

function hours(milliseconds: number): number {
  return round(milliseconds / HOUR_MS);
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function sumOf(days: DayUsage[], value: (day: DayUsage) => number): number {
  return days.reduce((total, day) => total + value(day), 0);
}

function compareTotals(left: AgreementTotal, right: AgreementTotal): number {
  return compareStrings(left.customer, right.customer) ||
    compareStrings(left.agreement, right.agreement);
}
