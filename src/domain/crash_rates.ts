/**
 * How often workers crash without a task that causes it, as far as this owner
 * has seen. A new owner starts without knowledge.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";

/** Observations lose their weight over about this time, in seconds. */
const MEMORY_S = 120;
/** Crashes within this time may have one cause from outside, in seconds. */
const BURST_S = 2;
/** A longer time between two observations was a suspension, in seconds. */
const MAX_ELAPSED_S = 10;
/** Crashes that weigh less are forgotten. */
const MIN_WEIGHT = 0.01;
const MS_PER_S = 1_000;

/** What an owner has seen of the crashes of its workers; the latest weighs most. */
export type CrashRates = {
  /** When the workers were last observed, on the steady clock. */
  observedAtMs: number | undefined;
  /** For how long they were observed, added up over all of them, in seconds. */
  observedS: number;
  /** Crashes that no task has caused, by worker. */
  crashes: Map<string, number>;
  /** Their sum. */
  crashCount: number;
  /** When workers crashed of late, on the steady clock. */
  recentCrashesMs: number[];
};

/** Creates rates without an observation. */
export function createCrashRates(): CrashRates {
  return {
    observedAtMs: undefined,
    observedS: 0,
    crashes: new Map(),
    crashCount: 0,
    recentCrashesMs: [],
  };
}

/** Counts the time since the last observation for all workers. */
export function observeWorkers(domain: Domain, { steadyMs }: Moment): void {
  const { crashRates, workers } = domain;
  const { observedAtMs = steadyMs, crashes } = crashRates;
  const elapsedS = Math.min(
    (steadyMs - observedAtMs) / MS_PER_S,
    MAX_ELAPSED_S,
  );
  const weight = Math.exp(-elapsedS / MEMORY_S);
  crashRates.observedAtMs = steadyMs;
  crashRates.observedS = crashRates.observedS * weight +
    elapsedS * workers.size;
  crashRates.crashCount = 0;
  for (const [worker, count] of crashes) {
    const weighted = count * weight;
    if (weighted < MIN_WEIGHT) crashes.delete(worker);
    else crashes.set(worker, weighted);
    crashRates.crashCount += weighted;
  }
  crashRates.recentCrashesMs = crashRates.recentCrashesMs.filter((atMs) =>
    steadyMs - atMs <= BURST_S * MS_PER_S
  );
}

/** Counts a crash of a worker that no task has caused. */
export function countCrash(
  { crashRates }: Domain,
  worker: string,
  { steadyMs }: Moment,
): void {
  const { crashes, recentCrashesMs } = crashRates;
  crashes.set(worker, (crashes.get(worker) ?? 0) + 1);
  crashRates.crashCount += 1;
  recentCrashesMs.push(steadyMs);
}

/**
 * Returns how many crashes of a worker are expected in a second without a task
 * that causes them: the highest of its own rate, that of all workers, and that
 * of the last seconds, in which machines may have failed together.
 *
 * @returns `Infinity` as long as nothing has been observed
 */
export function expectedCrashesPerS(
  { crashRates, workers }: Domain,
  worker: string,
): number {
  const { observedS, crashes, crashCount, recentCrashesMs } = crashRates;
  if (observedS === 0 || workers.size === 0) return Infinity;
  // One crash more than was seen, since a rate of 0 can't be known.
  const commonPerS = (crashCount + 1) / observedS;
  const ownObservedS = observedS / workers.size;
  const ownPerS = ((crashes.get(worker) ?? 0) + 1) /
    (ownObservedS + 1 / commonPerS);
  const burstPerS = recentCrashesMs.length / (workers.size * BURST_S);
  return Math.max(commonPerS, ownPerS, burstPerS);
}

/** The probability that a worker crashes by itself within a time. */
export function crashProbability(
  domain: Domain,
  worker: string,
  durationMs: number,
): number {
  const perS = expectedCrashesPerS(domain, worker);
  return 1 - Math.exp(-perS * durationMs / MS_PER_S);
}
