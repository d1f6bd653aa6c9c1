/**
 * What is learned of a kind of work from the runs that ended: how much its
 * tasks really take, and how long they really run.
 *
 * Declared sizes and run times are often far off. A learned size only ever
 * raises what is held for a task, since the worker counts what the task
 * declares. A learned run time replaces the declared one both ways: it is a
 * measurement, and holds nothing.
 *
 * @module
 */
import type { Resources, Task, TaskRecord } from "../model/mod.ts";

/** How many of the latest runs are remembered. */
const RUNS_REMEMBERED = 32;
/** A size or run time is believed after so many runs. */
const LEAST_RUNS = 4;
/** How often the quantiles are worked out again, in runs. */
const REFRESH_EVERY = 4;
/** The part of the runs that the learned run time covers. */
const TIME_QUANTILE = 0.75;

/** A size is raised up to this part of the largest worker. */
const MOST_RAISED = 0.5;

/** What the latest runs of a kind of work took. */
export type LearnedKind = {
  /** Peak over declared, for each run. */
  cpuRatios: number[];
  memoryRatios: number[];
  /** Run times, in milliseconds. */
  runsMs: number[];
  runs: number;
  /** Factors to hold above the declared size; at least 1. */
  cpuFactor: number;
  memoryFactor: number;
  /** The learned run time, in milliseconds. */
  runMs: number | undefined;
};

/** Creates the memory of a kind without any runs. */
export function createLearnedKind(): LearnedKind {
  return {
    cpuRatios: [],
    memoryRatios: [],
    runsMs: [],
    runs: 0,
    cpuFactor: 1,
    memoryFactor: 1,
    runMs: undefined,
  };
}

/** Learns from a task that finished. */
export function learnFrom(kind: LearnedKind, record: TaskRecord): void {
  const { task, peak, startedAtMs, endedAtMs, state } = record;
  if (state !== "finished" || endedAtMs === undefined) return;
  const at = kind.runs % RUNS_REMEMBERED;
  kind.runs += 1;
  kind.runsMs[at] = Math.max(0, endedAtMs - startedAtMs);
  if (peak !== undefined) {
    const place = kind.cpuRatios.length < RUNS_REMEMBERED
      ? kind.cpuRatios.length
      : at;
    kind.cpuRatios[place] = peak.cpuMillis / (task.demand.cpuMillis || 1);
    kind.memoryRatios[place] = peak.memoryMb / (task.demand.memoryMb || 1);
  }
  if (kind.runs % REFRESH_EVERY === 0) refresh(kind);
}

/** Whether tasks of a kind take more than they declare. */
export function isLarger({ cpuFactor, memoryFactor }: LearnedKind): boolean {
  return cpuFactor > 1 || memoryFactor > 1;
}

/** What to hold for a task: what it declares, or more. */
export function heldFor(
  { cpuFactor, memoryFactor }: LearnedKind,
  demand: Resources,
  largest: Resources,
): Resources {
  return {
    cpuMillis: raise(demand.cpuMillis, cpuFactor, largest.cpuMillis),
    memoryMb: raise(demand.memoryMb, memoryFactor, largest.memoryMb),
    accelerators: demand.accelerators,
  };
}

/** How long a task is expected to run, in milliseconds. */
export function expectedRunMs(
  kind: LearnedKind,
  task: Task,
): number {
  if (task.policy.kind === "service") return Infinity;
  return kind.runMs ?? task.durationMs;
}

function refresh(kind: LearnedKind): void {
  if (kind.runs < LEAST_RUNS) return;
  kind.runMs = quantile(kind.runsMs, TIME_QUANTILE);
  if (kind.cpuRatios.length < LEAST_RUNS) return;
  kind.cpuFactor = Math.max(1, mean(kind.cpuRatios));
  kind.memoryFactor = Math.max(1, mean(kind.memoryRatios));
}

function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function quantile(values: number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.floor(part * (sorted.length - 1));
  return sorted[at] ?? 1;
}

/** Raises an amount, but not so far that few workers could hold it. */
function raise(declared: number, factor: number, most: number): number {
  const bound = Math.floor(MOST_RAISED * most);
  const raised = Math.min(Math.ceil(declared * factor), bound);
  return Math.max(declared, raised);
}
