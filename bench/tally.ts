/**
 * What is counted in a run.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Yielding } from "../src/hosts/mod.ts";
import type { Deployment } from "./deployment.ts";
import type { LiveTask, LoadRun } from "./load_run.ts";
import { isOverused } from "./worker_fake.ts";

const LONGEST_WAIT_US = 3_600_000_000;
const US_PER_MS = 1000;

/** The counts of a run. */
export type Tally = {
  measuredFromMs: number;
  /** Waits until the first start by kind of work, in microseconds. */
  waits: Map<string, Histogram>;
  started: number;
  /** Tasks that still waited at the end; their waits count so far. */
  unstarted: number;
  ended: number;
  refused: number;
  offloads: number;
  events: number;
  commands: number;
  startCommands: number;
  failures: number;
  /** Tasks that failed for good. */
  lost: number;
  cancelled: number;
  /** Starts of a task that ran already: must stay 0. */
  twice: number;
  /** Starts beyond a worker's capacity: must stay 0. */
  overCapacity: number;
  yields: Record<Yielding, number>;
  samples: number;
  /** Sums over the samples of parts in use, from 0 to 1. */
  cpuInUse: number;
  acceleratorsInUse: number;
  /** Sum over the samples of the part of workers used beyond capacity. */
  overused: number;
};

/** Creates empty counts. */
export function createTally(deployment: Deployment): Tally {
  return {
    measuredFromMs: deployment.warmUpMs,
    waits: new Map(),
    started: 0,
    unstarted: 0,
    ended: 0,
    refused: 0,
    offloads: 0,
    events: 0,
    commands: 0,
    startCommands: 0,
    failures: 0,
    lost: 0,
    cancelled: 0,
    twice: 0,
    overCapacity: 0,
    yields: { checkpoint: 0, throttle: 0, stop: 0 },
    samples: 0,
    cpuInUse: 0,
    acceleratorsInUse: 0,
    overused: 0,
  };
}

/** Counts a task's wait until its start, or until the run's end. */
export function waited(
  tally: Tally,
  live: LiveTask,
  atMs: number,
  unstarted: boolean,
): void {
  if (live.arrivedAtMs < tally.measuredFromMs) return;
  if (unstarted) tally.unstarted += 1;
  else tally.started += 1;
  const { work } = live.task;
  const waits = tally.waits.get(work) ?? createWaits();
  tally.waits.set(work, waits);
  const waitUs = Math.round((atMs - live.arrivedAtMs) * US_PER_MS);
  waits.recordValue(Math.min(waitUs, LONGEST_WAIT_US));
}

/** Samples how much of the workers is in use. */
export function sampleWorkers(run: LoadRun, atMs: number): void {
  const { tally } = run;
  if (atMs < tally.measuredFromMs) return;
  const used = { cpu: 0, accelerators: 0, overused: 0 };
  const total = { cpu: 0, accelerators: 0 };
  for (const fake of run.workers.values()) {
    const { resources } = fake.worker.capacity;
    total.cpu += resources.cpuMillis;
    total.accelerators += resources.accelerators;
    used.cpu += Math.min(fake.taken.cpuMillis, resources.cpuMillis);
    used.accelerators += fake.taken.accelerators;
    if (isOverused(fake)) used.overused += 1;
  }
  tally.samples += 1;
  tally.cpuInUse += used.cpu / total.cpu;
  tally.acceleratorsInUse += used.accelerators / (total.accelerators || 1);
  tally.overused += used.overused / run.workers.size;
}

function createWaits(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_WAIT_US,
    numberOfSignificantValueDigits: 3,
  });
}
