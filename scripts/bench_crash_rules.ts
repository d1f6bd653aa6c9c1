/**
 * Compares rules that decide when a task is given up for crashing its workers:
 * how many sound jobs each gives up, and how many workers a task that crashes
 * each of them takes down. A random simulation; see docs/design/crashes.md.
 *
 * @module
 */
import { createRandomness } from "../src/clients/mod.ts";
import { assertNever } from "../src/base/mod.ts";
import type { Randomness } from "../src/hosts/mod.ts";

const TASKS = 100_000;
const DEADLY_TASKS = 2_000;
const WORKERS = 12;
/** A task that has run for this long has not crashed its worker, in seconds. */
const SETTLE_S = 1;
/** For how long an owner has seen its workers when a task starts, in seconds. */
const OBSERVED_S = 60;
const CALM_UPTIME_S = 3_600;
/** The share of sound jobs that may be given up. */
const MAX_FALSE_SHARE = 1e-5;
/** No task is tried more often in the simulation. */
const MAX_TRIES = 200;
const RESOLUTION = 1_000_000;

/** How a rule decides. */
type Rule =
  /** Gives a task up after a number of crashes in a row. */
  | { kind: "count"; crashes: number }
  /**
   * Wald's sequential test of "crashes its worker" against "its workers crash as
   * they do otherwise".
   *
   * @see Wald, Sequential Tests of Statistical Hypotheses, 1945
   */
  | { kind: "sequential"; prefersCalmWorkers: boolean };

type SimulatedWorker = { crashesPerS: number; expectedCrashesPerS: number };

const RULES: Record<string, Rule> = {
  "2 crashes": { kind: "count", crashes: 2 },
  "3 crashes": { kind: "count", crashes: 3 },
  "10 crashes": { kind: "count", crashes: 10 },
  "sequential, any worker": { kind: "sequential", prefersCalmWorkers: false },
  "sequential, calm workers": { kind: "sequential", prefersCalmWorkers: true },
};

/** Share of the workers that restart, and their mean uptime in seconds. */
const SITUATIONS = [
  { restartingShare: 0, uptimeS: CALM_UPTIME_S },
  { restartingShare: 0.25, uptimeS: 5.5 },
  { restartingShare: 0.75, uptimeS: 5.5 },
  { restartingShare: 1, uptimeS: 30 },
  { restartingShare: 1, uptimeS: 3 },
];

for (const situation of SITUATIONS) {
  const { restartingShare, uptimeS } = situation;
  console.log(`${restartingShare * 100} % restart every ${uptimeS} s`);
  for (const [name, rule] of Object.entries(RULES)) {
    const random = createRandomness(1);
    let falseCount = 0;
    for (let task = 0; task < TASKS; task += 1) {
      const workers = drawWorkers(random, restartingShare, uptimeS);
      if (countCrashes(random, rule, workers, false) > 0) falseCount += 1;
    }
    const deadly = Array.from({ length: DEADLY_TASKS }, () => {
      const workers = drawWorkers(random, restartingShare, uptimeS);
      return countCrashes(random, rule, workers, true);
    });
    const mean = deadly.reduce((sum, count) => sum + count, 0) / DEADLY_TASKS;
    console.log(
      `  ${name}: ${falseCount} of ${TASKS} sound tasks given up; ` +
        `a deadly one after ${mean.toFixed(1)}, at most ${Math.max(...deadly)}`,
    );
  }
}

/** Draws the workers, and what an owner has learnt of them by then. */
function drawWorkers(
  random: Randomness,
  restartingShare: number,
  uptimeS: number,
): SimulatedWorker[] {
  const workers = Array.from({ length: WORKERS }, (_, index) => {
    const isRestarting = index < restartingShare * WORKERS;
    const crashesPerS = 1 / (isRestarting ? uptimeS : CALM_UPTIME_S);
    return { crashesPerS, crashes: drawCrashes(random, crashesPerS) };
  });
  const total = workers.reduce((sum, { crashes }) => sum + crashes, 0);
  const serviceCrashesPerS = (total + 1) / (WORKERS * OBSERVED_S);
  return workers.map(({ crashesPerS, crashes }) => ({
    crashesPerS,
    // Its own rate, with one more crash than was seen; at least the service's.
    expectedCrashesPerS: Math.max(
      serviceCrashesPerS,
      (crashes + 1) / OBSERVED_S,
    ),
  }));
}

/** Number of crashes within the observed time. */
function drawCrashes(random: Randomness, crashesPerS: number): number {
  let crashes = 0;
  let atS = drawExponential(random, crashesPerS);
  while (atS < OBSERVED_S) {
    crashes += 1;
    atS += drawExponential(random, crashesPerS);
  }
  return crashes;
}

function drawExponential(random: Randomness, perS: number): number {
  return -Math.log(random.integer(1, RESOLUTION) / RESOLUTION) / perS;
}

/** The crashes after which a task is given up; 0 if it settles before. */
function countCrashes(
  random: Randomness,
  rule: Rule,
  workers: SimulatedWorker[],
  isDeadly: boolean,
): number {
  let evidence = 1;
  for (let crashes = 1; crashes <= MAX_TRIES; crashes += 1) {
    const worker = chooseWorker(random, rule, workers, crashes);
    const hasCrashed = isDeadly ||
      drawExponential(random, worker.crashesPerS) < SETTLE_S;
    if (!hasCrashed) return 0;
    evidence /= 1 - Math.exp(-worker.expectedCrashesPerS * SETTLE_S);
    switch (rule.kind) {
      case "count":
        if (crashes >= rule.crashes) return crashes;
        break;
      case "sequential":
        if (evidence >= 1 / MAX_FALSE_SHARE) return crashes;
        break;
      default:
        assertNever(rule);
    }
  }
  return MAX_TRIES;
}

/** The first try goes to any worker, since nothing speaks against the task. */
function chooseWorker(
  random: Randomness,
  rule: Rule,
  workers: SimulatedWorker[],
  tryNumber: number,
): SimulatedWorker {
  const isCalmWanted = rule.kind === "sequential" && rule.prefersCalmWorkers &&
    tryNumber > 1;
  if (!isCalmWanted) return workers[random.integer(0, workers.length - 1)]!;
  return workers.reduce((calmest, worker) =>
    worker.expectedCrashesPerS < calmest.expectedCrashesPerS ? worker : calmest
  );
}
