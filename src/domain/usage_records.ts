/**
 * The records of a domain's usage on a day. Each has at most a fixed number of
 * agreements; the first one also has the times.
 *
 * @module
 */
import { parseAs } from "../base/mod.ts";
import type { KeyedRecord } from "../hosts/mod.ts";
import { USAGE_PREFIX, usageKey } from "./record_keys.ts";
import { addResourceTime, zeroResourceTime } from "./resource_time.ts";
import { type DayUsage, dayUsageSchema } from "./usage.ts";

/** The most agreements in one record. */
const MAX_AGREEMENTS = 500;
const PART_SEPARATOR = "/";

/** The usage of each day, such as `2026-12-04`. */
export type UsageByDay = Map<string, DayUsage>;

/**
 * Creates the records of a day. Those of earlier versions, which have all
 * agreements in one record, have the same form.
 *
 * @example
 * ```ts
 * createUsageRecords("2026-12-04", usage).map(({ key }) => key);
 * // ["usage/2026-12-04", "usage/2026-12-04/1"]
 * ```
 */
export function createUsageRecords(
  day: string,
  usage: DayUsage,
): KeyedRecord[] {
  const entries = Object.entries(usage.used);
  const count = Math.max(1, Math.ceil(entries.length / MAX_AGREEMENTS));
  return Array.from({ length: count }, (_, part) => {
    const start = part * MAX_AGREEMENTS;
    const used = Object.fromEntries(
      entries.slice(start, start + MAX_AGREEMENTS),
    );
    const times = part === 0 ? {} : { observedMs: 0, unobservedMs: 0 };
    return {
      key: part === 0 ? usageKey(day) : usageKey(day) + PART_SEPARATOR + part,
      value: JSON.stringify({ ...usage, ...times, used }),
    };
  });
}

/**
 * Reads the usage of each day from the records of a domain; records of other
 * things are ignored.
 *
 * @returns the usage, and the keys of records that cannot be read with the reason
 *
 * @example
 * ```ts
 * const { usage } = readUsageRecords(records);
 * ```
 */
export function readUsageRecords(
  records: KeyedRecord[],
): { usage: UsageByDay; unreadable: { key: string; reason: string }[] } {
  const usage: UsageByDay = new Map();
  const unreadable: { key: string; reason: string }[] = [];
  for (const { day, key, value } of sortedParts(records)) {
    const parsed = parseAs(dayUsageSchema, value);
    if (parsed.isErr()) unreadable.push({ key, reason: parsed.error });
    else addPart(usage, day, parsed.value);
  }
  return { usage, unreadable };
}

/** Returns the records of usage, the parts of each day in their order. */
function sortedParts(records: KeyedRecord[]) {
  return records.flatMap(({ key, value }) => {
    if (value === undefined || !key.startsWith(USAGE_PREFIX)) return [];
    const [day = "", part = "0"] = key.slice(USAGE_PREFIX.length)
      .split(PART_SEPARATOR);
    return [{ day, part: Number(part), key, value }];
  }).sort((left, right) => left.part - right.part);
}

function addPart(usage: UsageByDay, day: string, part: DayUsage): void {
  const known = usage.get(day);
  if (known === undefined) {
    usage.set(day, part);
    return;
  }
  known.observedMs += part.observedMs;
  known.unobservedMs += part.unobservedMs;
  known.untilMs = Math.max(known.untilMs, part.untilMs);
  for (const [agreement, amount] of Object.entries(part.used)) {
    addResourceTime(known.used[agreement] ??= zeroResourceTime(), amount);
  }
}
