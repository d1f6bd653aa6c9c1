import { DAY_MS } from "../base/mod.ts";

/**
 * How amounts are shown to a person.
 *
 * @module
 */

const MILLIS_PER_CORE = 1_000;
const MEBIBYTES_PER_GIBIBYTE = 1_024;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;

/**
 * Renders processor time in cores.
 *
 * @example
 * ```ts
 * formatCores(1_500); // "1.5"
 * ```
 */
export function formatCores(cpuMillis: number): string {
  return formatNumber(cpuMillis / MILLIS_PER_CORE);
}

/**
 * Renders memory in GiB.
 *
 * @example
 * ```ts
 * formatGibibytes(1_536); // "1.5"
 * ```
 */
export function formatGibibytes(memoryMb: number): string {
  return formatNumber(memoryMb / MEBIBYTES_PER_GIBIBYTE);
}

/**
 * Renders a duration in the largest unit of which it holds one.
 *
 * @example
 * ```ts
 * formatDuration(12_340); // "12.3 s"
 * ```
 */
export function formatDuration(durationMs: number): string {
  if (durationMs < SECOND_MS) return `${Math.round(durationMs)} ms`;
  if (durationMs < MINUTE_MS) return inUnit(durationMs, SECOND_MS, "s");
  if (durationMs < HOUR_MS) return inUnit(durationMs, MINUTE_MS, "min");
  if (durationMs < DAY_MS) return inUnit(durationMs, HOUR_MS, "h");
  return inUnit(durationMs, DAY_MS, "d");
}

/**
 * Renders a point in time in UTC, to the second.
 *
 * @example
 * ```ts
 * formatTime(0); // "1970-01-01 00:00:00Z"
 * ```
 */
export function formatTime(atMs: number): string {
  return new Date(atMs).toISOString().replace("T", " ").replace(/\.\d+/, "");
}

function inUnit(durationMs: number, unitMs: number, unit: string): string {
  return `${(durationMs / unitMs).toFixed(1)} ${unit}`;
}

function formatNumber(value: number): string {
  return String(Math.round(value * 10) / 10);
}
