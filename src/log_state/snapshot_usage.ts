/**
 * Usage in a snapshot.
 *
 * @module
 */
import type { SnapshotUsage } from "./snapshot_state.ts";
import { agreementName } from "./usage_day.ts";
import type {
  AgreementUsage,
  DayUsage,
  OpenHour,
  UsageState,
  WorkerUsage,
} from "./usage_state.ts";

/**
 * Encodes usage as JSON data.
 *
 * @example
 * ```ts
 * const data = encodeUsage(state.usage);
 * ```
 */
export function encodeUsage(usage: UsageState): SnapshotUsage {
  return {
    workers: [...usage.workers].map(([worker, its]) => ({
      worker,
      closedBeforeMs: its.closedBeforeMs,
      ...(its.lastClosedMs === undefined
        ? {}
        : { lastClosedMs: its.lastClosedMs }),
      open: its.open.map(encodeHour),
    })),
    days: [...usage.days.values()].map((day) => ({
      ...day,
      used: [...day.used.values()],
      agreed: [...day.agreed.values()],
    })),
    refusedRecords: usage.refusedRecords,
    ...(usage.agreedUpToMs === undefined
      ? {}
      : { agreedUpToMs: usage.agreedUpToMs }),
    forgottenAtMs: usage.forgottenAtMs,
  };
}

/**
 * Decodes what {@linkcode encodeUsage} encoded.
 *
 * @example
 * ```ts
 * state.usage = decodeUsage(data);
 * ```
 */
export function decodeUsage(data: SnapshotUsage): UsageState {
  const workers = new Map<string, WorkerUsage>();
  for (const its of data.workers) {
    workers.set(its.worker, {
      closedBeforeMs: its.closedBeforeMs,
      lastClosedMs: its.lastClosedMs,
      open: its.open.map(decodeHour),
    });
  }
  const days = new Map<number, DayUsage>();
  for (const day of data.days) {
    days.set(day.dayMs, {
      ...day,
      used: byName(day.used),
      agreed: byName(day.agreed),
    });
  }
  return {
    workers,
    days,
    refusedRecords: data.refusedRecords,
    agreedUpToMs: data.agreedUpToMs,
    forgottenAtMs: data.forgottenAtMs,
  };
}

function byName(
  agreements: AgreementUsage[],
): Map<string, AgreementUsage> {
  return new Map(agreements.map((used) => [agreementName(used), used]));
}

type SnapshotHour = SnapshotUsage["workers"][number]["open"][number];

function encodeHour(hour: OpenHour): SnapshotHour {
  return {
    hourMs: hour.hourMs,
    usage: [...hour.usage.values()],
    observed: [...hour.observedMs].map(([token, observedMs]) => ({
      token,
      observedMs,
    })),
  };
}

function decodeHour(data: SnapshotHour): OpenHour {
  const usage = data.usage.map((used) =>
    [`${used.token} ${agreementName(used)}`, used] as const
  );
  const observed = data.observed.map((row) =>
    [row.token, row.observedMs] as const
  );
  return {
    hourMs: data.hourMs,
    usage: new Map(usage),
    observedMs: new Map(observed),
  };
}
