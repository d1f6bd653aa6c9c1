/**
 * Usage records as they are stored in the log: names once, numbers in rows.
 *
 * @module
 */
import * as v from "valibot";
import type { Usage } from "../model/mod.ts";
import type { LogRecordOf } from "./log_record.ts";
import { agreementName } from "./usage_day.ts";

type UsageRecord = LogRecordOf<"usage">;

/** Position of the agreement, then the three cumulative amounts. */
const rowSchema = v.tuple([v.number(), v.number(), v.number(), v.number()]);

/** Schema of usage records as they are stored in the log. */
export const packedUsageSchema = v.object({
  observer: v.string(),
  agreements: v.array(
    v.object({ customer: v.string(), agreement: v.string() }),
  ),
  /** One hour of one worker under one token each. */
  hours: v.array(v.object({
    worker: v.string(),
    token: v.number(),
    hourMs: v.number(),
    observedMs: v.optional(v.number()),
    rows: v.array(rowSchema),
  })),
});

/** Usage records as they are stored in the log. */
export type PackedUsage = v.InferOutput<typeof packedUsageSchema>;

type PackedHour = PackedUsage["hours"][number];
type HourKey = Pick<PackedHour, "worker" | "token" | "hourMs">;

/**
 * Packs usage records for the log.
 *
 * @example
 * ```ts
 * unpackUsage(packUsage(record)); // the same records, by worker and hour
 * ```
 */
export function packUsage(record: UsageRecord): PackedUsage {
  const positions = new Map<string, number>();
  const hours = new Map<string, PackedHour>();
  const agreements: PackedUsage["agreements"] = [];
  for (const usage of record.usage) {
    const name = agreementName(usage);
    const position = positions.get(name) ?? agreements.length;
    if (position === agreements.length) {
      positions.set(name, position);
      const { customer, agreement } = usage;
      agreements.push({ customer, agreement });
    }
    const { cpuMillisMs, memoryMbMs, acceleratorMs } = usage;
    hourOf(hours, usage).rows.push(
      [position, cpuMillisMs, memoryMbMs, acceleratorMs],
    );
  }
  for (const observed of record.observed) {
    const hour = hourOf(hours, observed);
    hour.observedMs = Math.max(hour.observedMs ?? 0, observed.observedMs);
  }
  return { observer: record.observer, agreements, hours: [...hours.values()] };
}

/**
 * Unpacks usage records.
 *
 * @example
 * ```ts
 * const record = unpackUsage(stored);
 * ```
 */
export function unpackUsage(packed: PackedUsage): UsageRecord {
  const usage = packed.hours.flatMap((hour) =>
    hour.rows.flatMap((row) => usageOf(packed, hour, row))
  );
  const observed = packed.hours.flatMap(
    ({ worker, token, hourMs, observedMs }) =>
      observedMs === undefined ? [] : [{ worker, token, hourMs, observedMs }],
  );
  return { kind: "usage", observer: packed.observer, usage, observed };
}

/** A row that names no agreement is left out. */
function usageOf(
  packed: PackedUsage,
  hour: HourKey,
  row: PackedHour["rows"][number],
): Usage[] {
  const [position, cpuMillisMs, memoryMbMs, acceleratorMs] = row;
  const owner = packed.agreements[position];
  if (owner === undefined) return [];
  const { worker, token, hourMs } = hour;
  const amounts = { cpuMillisMs, memoryMbMs, acceleratorMs };
  return [{ worker, token, hourMs, ...owner, ...amounts }];
}

function hourOf(hours: Map<string, PackedHour>, key: HourKey): PackedHour {
  const { worker, token, hourMs } = key;
  const name = `${worker} ${token} ${hourMs}`;
  const known = hours.get(name);
  if (known !== undefined) return known;
  const created = { worker, token, hourMs, rows: [] };
  hours.set(name, created);
  return created;
}
