/**
 * What callers gain if an owner learns which images slow each other down: a
 * simulated service of 24 workers with one task of a service on each, half of an
 * image whose tail latency a filler doubles, and fillers that come and end.
 *
 * @module
 */
import { createRandomness } from "../../src/clients/mod.ts";
import type {
  DomainCommand,
  EndedRun,
  ListedRun,
} from "../../src/domain/mod.ts";
import type { Randomness } from "../../src/hosts/mod.ts";
import { createInterference } from "../../src/domain/interference/mod.ts";
import {
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  step,
  submit,
} from "../../src/domain/testing/domain_bench.ts";

const WORKERS = 24;
const GOAL_MS = 100;
const POLL_MS = 250;
const FILLER_WORK_MS = 4_000;
/** Mean time between two fillers of one image. */
const FILLER_EVERY_MS = 1_000;
/** Tail latency over goal without fillers, and the spread of a reading. */
const LATENCY_RATIO = 0.4;
const SPREAD = 0.15;
const FULL_SPEED = 100;

/** How services and fillers fared. */
export type InterferenceFigures = {
  /** Share of the time of the disturbed services over their goal, in percent. */
  overGoalPercent: number;
  /** Share of the time of fillers below full speed, in percent. */
  pacedPercent: number;
  /** Mean time from the submission of a filler to its end, in milliseconds. */
  fillerMs: number;
};

type SimulatedRun = {
  task: string;
  attempt: number;
  worker: string;
  image: string;
  percent: number;
  doneMs: number;
};

type Simulation = {
  bench: DomainBench;
  randomness: Randomness;
  runs: Map<string, SimulatedRun>;
  /** Number of the last end of each worker. */
  ends: Map<string, number>;
  submittedAtMs: Map<string, number>;
  /** Counts of polls, and the time that the ended fillers took. */
  sums: Record<
    "over" | "disturbed" | "paced" | "filler" | "tookMs" | "ended",
    number
  >;
};

/**
 * Plays one simulated day.
 *
 * @param options whether the owner keeps what it learns
 *
 * @example
 * ```ts
 * benchInterference({ seed: 1, seconds: 120, isLearning: true }).fillerMs;
 * ```
 */
export function benchInterference(
  options: { seed: number; seconds: number; isLearning: boolean },
): InterferenceFigures {
  const simulation = createSimulation(options.seed);
  const { bench, sums } = simulation;
  const workers = Array.from({ length: WORKERS }, (_, index) => `w${index}`);
  listWorkers(bench, ...workers.map((id) => listing(id)));
  for (const image of ["disturbed", "robust"]) {
    const service = step({
      image,
      taskCount: WORKERS / 2,
      maxPerWorker: 1,
      longRunning: true,
      latencyGoalMs: GOAL_MS,
    });
    submit(bench, image, [service]);
  }
  while (bench.nowMs < options.seconds * 1_000) {
    bench.nowMs += POLL_MS;
    submitFillers(simulation);
    for (const worker of workers) {
      bench.commands.splice(0).forEach((command) =>
        executeOrder(simulation, command)
      );
      if (!options.isLearning) bench.domain.interference = createInterference();
      reportFrom(bench, worker, pollWorker(simulation, worker));
    }
    feedEvent(bench, { kind: "ticked" });
  }
  return {
    overGoalPercent: 100 * sums.over / sums.disturbed,
    pacedPercent: 100 * sums.paced / sums.filler,
    fillerMs: sums.tookMs / sums.ended,
  };
}

function createSimulation(seed: number): Simulation {
  return {
    bench: createBench(),
    randomness: createRandomness(seed),
    runs: new Map(),
    ends: new Map(),
    submittedAtMs: new Map(),
    sums: { over: 0, disturbed: 0, paced: 0, filler: 0, tookMs: 0, ended: 0 },
  };
}

function submitFillers(simulation: Simulation): void {
  const { bench, randomness, submittedAtMs } = simulation;
  for (const image of ["disturbing", "quiet"]) {
    if (randomness.integer(1, FILLER_EVERY_MS) > POLL_MS) continue;
    const id = `${image}-${bench.nowMs}`;
    submittedAtMs.set(id, bench.nowMs);
    submit(bench, id, [step({ image, opportunistic: true })]);
  }
}

function executeOrder({ runs }: Simulation, command: DomainCommand): void {
  if (command.kind !== "order") return;
  const { order } = command;
  if (order.kind === "pace") {
    const paced = runs.get(order.task);
    if (paced !== undefined) paced.percent = order.percent;
  } else if (order.kind === "start") {
    const { task, attempt, worker } = order;
    const image = task.split(/[-.]/)[0]!;
    const run = { task, attempt, worker, image, percent: FULL_SPEED };
    runs.set(task, { ...run, doneMs: 0 });
  }
}

/** Lets the tasks of a worker work until its next poll, and lists them. */
function pollWorker(
  simulation: Simulation,
  worker: string,
): { running: ListedRun[]; ended: EndedRun[] } {
  const here = [...simulation.runs.values()].filter((run) =>
    run.worker === worker
  );
  const disturbance = here.filter(({ image }) => image === "disturbing")
    .reduce((sum, { percent }) => sum + percent / FULL_SPEED, 0);
  const report: ReturnType<typeof pollWorker> = { running: [], ended: [] };
  for (const run of here) {
    const { task, attempt, image, percent } = run;
    if (image === "disturbed" || image === "robust") {
      const reading = readLatency(simulation, image, disturbance);
      report.running.push(running(task, attempt, { percent: 100, reading }));
    } else if (!isDone(simulation, run)) {
      const reading = 10 * percent;
      report.running.push(running(task, attempt, { reading }));
    } else {
      const number = (simulation.ends.get(worker) ?? 0) + 1;
      simulation.ends.set(worker, number);
      report.ended.push(ended(number, task, attempt, "done"));
    }
  }
  return report;
}

function readLatency(
  { randomness, sums }: Simulation,
  image: string,
  disturbance: number,
): number {
  const factor = image === "disturbed" ? 1 + disturbance : 1;
  const noise = 1 + SPREAD * randomness.integer(-1_000, 1_000) / 1_000;
  const reading = Math.round(GOAL_MS * LATENCY_RATIO * factor * noise);
  if (image === "disturbed") {
    sums.disturbed += 1;
    if (reading > GOAL_MS) sums.over += 1;
  }
  return reading;
}

/** Lets a filler work until the next poll; removes it once it is done. */
function isDone(simulation: Simulation, run: SimulatedRun): boolean {
  const { bench, runs, submittedAtMs, sums } = simulation;
  run.doneMs += POLL_MS * run.percent / FULL_SPEED;
  sums.filler += 1;
  if (run.percent < FULL_SPEED) sums.paced += 1;
  if (run.doneMs < FILLER_WORK_MS) return false;
  runs.delete(run.task);
  sums.ended += 1;
  sums.tookMs += bench.nowMs - submittedAtMs.get(run.task.split(".")[0]!)!;
  return true;
}
