/**
 * Formatting of resource amounts, durations and times.
 *
 * @module
 */
import { DAY_MS } from "../base/mod.ts";

const CPU_MILLIS_PER_CORE = 1_000;
const MIB_PER_GIB = 1_024;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;

/**
 * Formats a CPU amount in cores.
 *
 * @example
 * ```ts
 * formatCores(1_500); // "1.5"
 * ```
 *
 * @param cpuMillis the amount in thousandths of a core
 */
export function formatCores(cpuMillis: number): string {
  return formatNumber(cpuMillis / CPU_MILLIS_PER_CORE);
}

/**
 * Formats an amount of memory in GiB.
 *
 * @example
 * ```ts
 * formatGibibytes(1_536); // "1.5"
 * ```
 *
 * @param memoryMb the amount in MiB
 */
export function formatGibibytes(memoryMb: number): string {
  return formatNumber(memoryMb / MIB_PER_GIB);
}

/**
 * Formats a duration in the largest unit that does not exceed it.
 *
 * @example
 * ```ts
 * formatDuration(12_340); // "12.3 s"
 * ```
 */
export function formatDuration(durationMs: number): string {
  if (durationMs < SECOND_MS) return `${Math.round(durationMs)} ms`;
  if (durationMs < MINUTE_MS) return formatInUnit(durationMs, SECOND_MS, "s");
  if (durationMs < HOUR_MS) return formatInUnit(durationMs, MINUTE_MS, "min");
  if (durationMs < DAY_MS) return formatInUnit(durationMs, HOUR_MS, "h");
  return formatInUnit(durationMs, DAY_MS, "d");
}

/**
 * Formats a timestamp in UTC, to the second.
 *
 * @example
 * ```ts
 * formatTime(0); // "1970-01-01 00:00:00Z"
 * ```
 */
export function formatTime(atMs: number): string {
  return new Date(atMs).toISOString().replace("T", " ").replace(/\.\d+/, "");
}

function formatInUnit(
  durationMs: number,
  unitMs: number,
  unit: string,
): string {
  return `${(durationMs / unitMs).toFixed(1)} ${unit}`;
}

function formatNumber(value: number): string {
  return String(Math.round(value * 10) / 10);
}
