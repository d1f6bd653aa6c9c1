import type { Usage } from "../model/mod.ts";
import type { LogRecordOf } from "./log_record.ts";
import { addHour, agreementName, dayOf, HOUR_MS } from "./usage_day.ts";
import type { OpenHour, UsageState, WorkerUsage } from "./usage_state.ts";

/** How many hours of a worker stay open for records that come late. */
export const OPEN_HOURS = 3;
/** How long days are kept, in milliseconds. */
export const DAY_RETENTION_MS = 63 * 24 * HOUR_MS;
/** How long a worker without records is remembered, in milliseconds. */
export const WORKER_RETENTION_MS = 7 * 24 * HOUR_MS;

type Observed = LogRecordOf<"usage">["observed"][number];

/**
 * Folds cumulative usage: per worker, token, hour, customer and agreement the
 * largest record holds, so repeats and reorderings change nothing. A worker's
 * hour is closed once a record for a third later hour arrives; what comes
 * after that is counted as refused and not added.
 *
 * @example
 * ```ts
 * foldUsage(state.usage, record, entry.atMs);
 * ```
 *
 * @param clockMs the log's own time, in milliseconds since the epoch
 */
export function foldUsage(
  usage: UsageState,
  record: LogRecordOf<"usage">,
  clockMs: number,
): void {
  // A record that was held back may span more hours than stay open.
  for (const hourMs of hoursOf(record)) {
    for (const item of record.usage) {
      if (item.hourMs === hourMs) foldUsed(usage, item, clockMs);
    }
    for (const item of record.observed) {
      if (item.hourMs === hourMs) foldObserved(usage, item, clockMs);
    }
  }
}

/**
 * Drops days and workers whose retention has passed on the log's own clock.
 *
 * @example
 * ```ts
 * forgetUsage(state.usage, state.clockMs);
 * ```
 */
export function forgetUsage(usage: UsageState, clockMs: number): void {
  const hourMs = Math.floor(clockMs / HOUR_MS) * HOUR_MS;
  if (hourMs <= usage.forgottenAtMs) return;
  usage.forgottenAtMs = hourMs;
  for (const dayMs of usage.days.keys()) {
    if (dayMs + DAY_RETENTION_MS <= clockMs) usage.days.delete(dayMs);
  }
  for (const [worker, its] of usage.workers) {
    const newestMs = its.open.at(-1)?.hourMs ?? its.closedBeforeMs;
    if (newestMs + WORKER_RETENTION_MS > clockMs) continue;
    for (const hour of its.open) closeOpenHour(usage, its, hour);
    usage.workers.delete(worker);
  }
}

/** The hours that a record tells of, oldest first. */
function hoursOf(record: LogRecordOf<"usage">): number[] {
  const hours = new Set<number>();
  for (const { hourMs } of record.usage) hours.add(hourMs);
  for (const { hourMs } of record.observed) hours.add(hourMs);
  return [...hours].sort((left, right) => left - right);
}

function foldUsed(usage: UsageState, item: Usage, clockMs: number): void {
  const hour = openHour(usage, item.worker, item.hourMs, clockMs);
  if (hour === undefined) return;
  const name = `${item.token} ${agreementName(item)}`;
  const known = hour.usage.get(name);
  if (known === undefined) {
    hour.usage.set(name, {
      token: item.token,
      customer: item.customer,
      agreement: item.agreement,
      cpuMillisMs: item.cpuMillisMs,
      memoryMbMs: item.memoryMbMs,
      acceleratorMs: item.acceleratorMs,
    });
    return;
  }
  known.cpuMillisMs = Math.max(known.cpuMillisMs, item.cpuMillisMs);
  known.memoryMbMs = Math.max(known.memoryMbMs, item.memoryMbMs);
  known.acceleratorMs = Math.max(known.acceleratorMs, item.acceleratorMs);
}

function foldObserved(
  usage: UsageState,
  item: Observed,
  clockMs: number,
): void {
  const hour = openHour(usage, item.worker, item.hourMs, clockMs);
  if (hour === undefined) return;
  const known = hour.observedMs.get(item.token) ?? 0;
  hour.observedMs.set(item.token, Math.max(known, item.observedMs));
}

/** Finds or opens an hour; undefined, and counted, where it is closed. */
function openHour(
  usage: UsageState,
  worker: string,
  hourMs: number,
  clockMs: number,
): OpenHour | undefined {
  const its = workerUsage(usage, worker, clockMs);
  const known = its.open.find((hour) => hour.hourMs === hourMs);
  if (known !== undefined) return known;
  if (!isOpenable(its, hourMs, clockMs)) {
    usage.refusedRecords += 1;
    return undefined;
  }
  const created = { hourMs, usage: new Map(), observedMs: new Map() };
  its.open.push(created);
  its.open.sort((left, right) => left.hourMs - right.hourMs);
  closeOldHours(usage, its);
  return created;
}

function workerUsage(
  usage: UsageState,
  worker: string,
  clockMs: number,
): WorkerUsage {
  const known = usage.workers.get(worker);
  if (known !== undefined) return known;
  const created = {
    closedBeforeMs: clockMs - WORKER_RETENTION_MS,
    lastClosedMs: undefined,
    open: [],
  };
  usage.workers.set(worker, created);
  return created;
}

/** A worker with a wrong clock must not close the hours of the others. */
function isOpenable(
  its: WorkerUsage,
  hourMs: number,
  clockMs: number,
): boolean {
  return hourMs % HOUR_MS === 0 &&
    hourMs >= its.closedBeforeMs &&
    hourMs <= clockMs + HOUR_MS;
}

function closeOldHours(usage: UsageState, its: WorkerUsage): void {
  const newest = its.open.at(-1);
  if (newest === undefined) return;
  const openFromMs = newest.hourMs - (OPEN_HOURS - 1) * HOUR_MS;
  while (its.open[0] !== undefined && its.open[0].hourMs < openFromMs) {
    const hour = its.open.shift();
    if (hour !== undefined) closeOpenHour(usage, its, hour);
  }
  its.closedBeforeMs = Math.max(its.closedBeforeMs, openFromMs);
}

/** Hours between two closed ones had no record: nobody observed them. */
function closeOpenHour(
  usage: UsageState,
  its: WorkerUsage,
  hour: OpenHour,
): void {
  const fromMs = (its.lastClosedMs ?? hour.hourMs - HOUR_MS) + HOUR_MS;
  for (let atMs = fromMs; atMs < hour.hourMs; atMs += HOUR_MS) {
    dayOf(usage.days, atMs).unobservedMs += HOUR_MS;
  }
  addHour(usage.days, hour, HOUR_MS);
  its.lastClosedMs = hour.hourMs;
}
