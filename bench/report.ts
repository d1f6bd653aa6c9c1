/**
 * The results of all benchmarks, and how they are printed.
 *
 * @module
 */
import { PREEMPTING_URGENCY } from "../src/model/mod.ts";
import type { Decisions } from "./decisions.ts";
import type { Deployment } from "./deployment.ts";
import type { Packing } from "./packing.ts";
import { formatTable } from "./table.ts";
import type { Tally } from "./tally.ts";

/** Urgent work starts within this time, in milliseconds. */
export const URGENT_START_BOUND_MS = 1_200;
/** Placements that one process decides in a second, at least. */
export const PLACEMENTS_BOUND = 5_000;
/** A decision takes less than this at the 99th percentile, in ms. */
export const DECISION_BOUND_MS = 5;

const US_PER_MS = 1000;
const PERCENTILES = [50, 99, 99.9];

/** The waits of one kind of work, in milliseconds. */
export type Wait = {
  work: string;
  urgency: number;
  count: number;
  p50Ms: number;
  p99Ms: number;
  p999Ms: number;
};

/** One load run of one variant. */
export type LoadResult = {
  deployment: string;
  load: number;
  variant: string;
  waits: Wait[];
  counts: Record<string, number>;
};

/** How one variant packs one deployment. */
export type PackingResult = { deployment: string; variant: string } & Packing;

/** Everything that a run of the benchmarks measured. */
export type Report = {
  seed: number;
  loads: LoadResult[];
  packing: PackingResult[];
  decisions: Decisions[];
};

/** Sums up a load run. */
export function sumUpLoad(
  deployment: Deployment,
  load: number,
  variant: string,
  tally: Tally,
): LoadResult {
  const waits = deployment.work.flatMap(({ name, urgency }): Wait[] => {
    const times = tally.waits.get(name);
    if (times === undefined) return [];
    const [p50Ms, p99Ms, p999Ms] = PERCENTILES.map((percentile) =>
      times.getValueAtPercentile(percentile) / US_PER_MS
    ) as [number, number, number];
    const count = times.totalCount;
    return [{ work: name, urgency, count, p50Ms, p99Ms, p999Ms }];
  });
  waits.sort((a, b) => b.urgency - a.urgency);
  const { samples, started } = tally;
  const counts = {
    started,
    unstarted: tally.unstarted,
    refused: tally.refused,
    failures: tally.failures,
    twice: tally.twice,
    overCapacity: tally.overCapacity,
    checkpoints: tally.yields.checkpoint,
    throttles: tally.yields.throttle,
    offloads: tally.offloads,
    commandsPerStart: tally.commands / Math.max(1, tally.startCommands),
    cpuInUse: tally.cpuInUse / samples,
    acceleratorsInUse: tally.acceleratorsInUse / samples,
    overused: tally.overused / samples,
  };
  return { deployment: deployment.name, load, variant, waits, counts };
}

/** Prints waits: a row for each kind of work, a column for each variant. */
export function formatWaits(results: LoadResult[]): string {
  const [first] = results;
  if (first === undefined) return "";
  const heading = ["kind (urgency)", ...results.map(({ variant }) => variant)];
  const rows = first.waits.map(({ work, urgency }) => [
    `${work} (${urgency})`,
    ...results.map((result) => formatWait(result, work)),
    urgency >= PREEMPTING_URGENCY ? `-/-/${URGENT_START_BOUND_MS}` : "none",
  ]);
  const title = `${first.deployment}, ${percent(first.load)} load: ` +
    "wait p50/p99/p99.9 in ms";
  return `${title}\n${formatTable([[...heading, "bound"], ...rows])}`;
}

/** Prints the counts of load runs: a row for each count. */
export function formatCounts(results: LoadResult[]): string {
  const names = Object.keys(results[0]?.counts ?? {});
  const heading = ["count", ...results.map(({ variant }) => variant)];
  const rows = names.map((name) => [
    name,
    ...results.map(({ counts }) => formatNumber(counts[name]!)),
    name === "twice" || name === "overCapacity" ? "0" : "none",
  ]);
  return formatTable([[...heading, "bound"], ...rows]);
}

/** Prints how full the workers are when the first task waits. */
export function formatPacking(results: PackingResult[]): string {
  const heading = [
    "variant",
    "cpu",
    "memory",
    "accelerators",
    "slots",
    "stranded",
  ];
  const rows = results.map((result) => [
    `${result.deployment}: ${result.variant}`,
    percent(result.cpu),
    percent(result.memory),
    percent(result.accelerators),
    percent(result.slots),
    percent(result.stranded),
  ]);
  const title = "packing: in use when the first task waits";
  return `${title}\n${formatTable([heading, ...rows])}`;
}

/** Prints the speed of decisions. */
export function formatDecisions(results: Decisions[]): string {
  const heading = [
    "workers",
    "running",
    "waiting",
    "per s",
    "p50 ms",
    "p99 ms",
  ];
  const rows = results.map((result) => [
    String(result.workers),
    String(result.running),
    String(result.queued),
    String(Math.round(result.placementsPerSecond)),
    result.p50Ms.toFixed(3),
    result.p99Ms.toFixed(3),
  ]);
  const bound = ["bound", "", "", String(PLACEMENTS_BOUND), ""];
  rows.push([...bound, DECISION_BOUND_MS.toFixed(3)]);
  return `decisions\n${formatTable([heading, ...rows])}`;
}

function formatWait({ waits }: LoadResult, work: string): string {
  const wait = waits.find((other) => other.work === work);
  if (wait === undefined) return "-";
  return [wait.p50Ms, wait.p99Ms, wait.p999Ms].map((ms) =>
    ms < 10 ? ms.toFixed(1) : String(Math.round(ms))
  ).join("/");
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}

function percent(part: number): string {
  return `${(100 * part).toFixed(1)} %`;
}
