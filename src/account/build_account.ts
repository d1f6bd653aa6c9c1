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
import type { AgreementUsage, ClusterDayUsage } from "./cluster_day_usage.ts";
import type { Month } from "./month.ts";
import { HOUR_MS } from "./daily_usage.ts";

const CPU_MILLIS_PER_CORE = 1_000;
const MIB_PER_GIB = 1_024;

/** Used and agreed resource time of one agreement over the month. */
type AgreementTotal = {
  customer: string;
  agreement: string;
  used: ResourceTime;
  agreed: ResourceTime;
};

/** The input of {@linkcode buildAccount}. */
export type AccountSource = {
  /** Usage by start of the day, in milliseconds since the epoch. */
  days: Map<number, ClusterDayUsage>;
  /** End of the accounted time, in milliseconds since the epoch. */
  asOfMs: number;
  /** Whether the records of every domain could be read. */
  complete: boolean;
};

/**
 * Builds the account of a month from daily usage. The account of a month that
 * has not ended covers the time up to `asOfMs`. Unobserved time is reported
 * separately; if no time was observed, the rows state no usage.
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
  const observedMs = sumOverDays(days, ({ observedMs }) => observedMs);
  const unobservedMs = sumOverDays(days, ({ unobservedMs }) => unobservedMs);
  const totals = [...totalByAgreement(days).values()].sort(compareTotals);
  const isObserved = observedMs > 0;
  return {
    month: month.label,
    asOf: new Date(Math.min(asOfMs, month.toMs)).toISOString(),
    closed: asOfMs >= month.toMs,
    complete,
    observedHours: toHours(observedMs),
    unobservedHours: toHours(unobservedMs),
    days: days.map(toAccountDay),
    rows: isObserved ? buildObservedRows(totals) : buildUnobservedRows(totals),
  };
}

function toAccountDay(day: ClusterDayUsage): AccountDay {
  return {
    day: dayLabel(day.dayMs),
    observedHours: toHours(day.observedMs),
    unobservedHours: toHours(day.unobservedMs),
  };
}

function totalByAgreement(
  days: ClusterDayUsage[],
): Map<string, AgreementTotal> {
  const totals = new Map<string, AgreementTotal>();
  for (const day of days) {
    for (const [key, used] of day.used) {
      addResourceTime(getOrCreateTotal(totals, key, used).used, used);
    }
    for (const [key, agreed] of day.agreed) {
      addResourceTime(getOrCreateTotal(totals, key, agreed).agreed, agreed);
    }
  }
  return totals;
}

function getOrCreateTotal(
  totals: Map<string, AgreementTotal>,
  key: string,
  usage: AgreementUsage,
): AgreementTotal {
  const existing = totals.get(key);
  if (existing !== undefined) return existing;
  const created = {
    customer: usage.customer,
    agreement: usage.agreement,
    used: zeroResourceTime(),
    agreed: zeroResourceTime(),
  };
  totals.set(key, created);
  return created;
}

function buildUnobservedRows(totals: AgreementTotal[]): AccountRow[] {
  return buildRows(totals, (total, resource) => ({
    customer: total.customer,
    agreement: total.agreement,
    resource,
    unit: ACCOUNT_UNITS[resource],
    agreed: amountInUnit(total.agreed, resource),
  }));
}

function buildObservedRows(totals: AgreementTotal[]): AccountRow[] {
  const lentFractions = new Map(
    RESOURCE_NAMES.map((name) => [name, lentFraction(totals, name)] as const),
  );
  return buildRows(totals, (total, resource) => {
    const used = amountInUnit(total.used, resource);
    const agreed = amountInUnit(total.agreed, resource);
    const unused = Math.max(0, agreed - used);
    return {
      customer: total.customer,
      agreement: total.agreement,
      resource,
      unit: ACCOUNT_UNITS[resource],
      used,
      agreed,
      overuse: roundToThousandths(Math.max(0, used - agreed)),
      lent: roundToThousandths(unused * (lentFractions.get(resource) ?? 0)),
    };
  });
}

function buildRows(
  totals: AgreementTotal[],
  build: (total: AgreementTotal, resource: ResourceName) => AccountRow,
): AccountRow[] {
  return totals.flatMap((total) =>
    RESOURCE_NAMES.map((resource) => build(total, resource))
  );
}

/** Fraction of the total unused amount that covered overuse. */
function lentFraction(
  totals: AgreementTotal[],
  resource: ResourceName,
): number {
  let overuse = 0;
  let unused = 0;
  for (const total of totals) {
    const used = amountInUnit(total.used, resource);
    const agreed = amountInUnit(total.agreed, resource);
    overuse += Math.max(0, used - agreed);
    unused += Math.max(0, agreed - used);
  }
  return unused === 0 ? 0 : Math.min(1, overuse / unused);
}

function amountInUnit(time: ResourceTime, resource: ResourceName): number {
  switch (resource) {
    case "cpuMillis":
      return toHours(time.cpuMillisMs / CPU_MILLIS_PER_CORE);
    case "memoryMb":
      return toHours(time.memoryMbMs / MIB_PER_GIB);
    case "accelerators":
      return toHours(time.acceleratorMs);
  }
}

function toHours(milliseconds: number): number {
  return roundToThousandths(milliseconds / HOUR_MS);
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function sumOverDays(
  days: ClusterDayUsage[],
  value: (day: ClusterDayUsage) => number,
): number {
  return days.reduce((total, day) => total + value(day), 0);
}

function compareTotals(left: AgreementTotal, right: AgreementTotal): number {
  return compareStrings(left.customer, right.customer) ||
    compareStrings(left.agreement, right.agreement);
}
