/**
 * Failing runs in the simulation, and the limit on attempts that they count
 * towards.
 *
 * @module
 */
import { endRun } from "../../../stand_ins/platform/worker.ts";
import { jobStateOf } from "../job_state.ts";
import { mayBeGivenUp } from "./owner_model_crashes.ts";
import type { FailedRun, Model, SimulatedWorker } from "./owner_model_state.ts";

/** Number of failures at which a job of the simulation fails. */
export const MAX_ATTEMPTS = 3;
/** One in this many runs fails in a step of the simulation. */
const FAILURE_ODDS = 25;

/** Ends some runs as failed; a gang of which a member fails ends as a whole. */
export function failSomeRuns(model: Model): void {
  const { nowMs } = model.bench;
  for (const simulated of model.workers.values()) {
    const { worker } = simulated;
    for (const task of [...worker.running.keys()]) {
      const hasEnded = !worker.running.has(task);
      if (hasEnded || model.random.integer(1, FAILURE_ODDS) > 1) continue;
      recordFailedRun(model, simulated, task);
      endRun(worker, task, "failed", nowMs);
      breakGangOf(model, task);
    }
  }
}

function breakGangOf(model: Model, task: string): void {
  const [job = "", , step] = task.split(".");
  if (step !== "0" || model.firstSteps.get(job)?.gang !== true) return;
  for (const { worker } of model.workers.values()) {
    for (const other of [...worker.running.keys()]) {
      if (!other.startsWith(`${job}.0.0.`)) continue;
      endRun(worker, other, "broken", model.bench.nowMs);
    }
  }
}

function recordFailedRun(
  model: Model,
  { worker }: SimulatedWorker,
  task: string,
): void {
  const known = model.failedRuns.get(task) ?? [];
  known.push({
    worker: worker.id,
    bornMs: worker.bornMs,
    number: worker.nextEndedRunNumber,
    attempt: worker.running.get(task)!.attempt,
    isAcknowledged: false,
  });
  model.failedRuns.set(task, known);
}

/** Records that the ends of a worker up to a number were acknowledged. */
export function acknowledgeFailedRuns(
  model: Model,
  { worker, endsBeforeExpiry }: SimulatedWorker,
  lastEnd: number,
): void {
  for (const run of [...model.failedRuns.values()].flat()) {
    const isListed = run.worker === worker.id && run.bornMs === worker.bornMs &&
      run.number <= lastEnd;
    if (isListed && !endsBeforeExpiry.has(run.number)) {
      run.isAcknowledged = true;
    }
  }
}

/** Records that a task was started, with its failed runs so far. */
export function recordRestart(model: Model, task: string): void {
  const failed = model.failedRuns.get(task) ?? [];
  if (failed.length > 0) model.restarts.push({ task, failed: [...failed] });
}

/**
 * Finds tasks that were started although enough of their runs had failed, and
 * jobs that failed without that.
 */
export function* checkAttempts(model: Model): Generator<string> {
  for (const { task, failed } of model.restarts) {
    const acknowledged = failed.filter(({ isAcknowledged }) => isAcknowledged);
    if (acknowledged.length < MAX_ATTEMPTS) continue;
    yield `${task} started after ${acknowledged.length} failed runs`;
  }
  for (const job of model.jobs) {
    if (jobStateOf(model.bench.domain, job) !== "failed") continue;
    const attempts = failedAttemptsOf(model, job);
    if (attempts < MAX_ATTEMPTS && !mayBeGivenUp(model, job)) {
      yield `${job} failed after ${attempts} failed attempts`;
    }
  }
}

/** The most attempts that failed of a task of a job, or of its gang. */
function failedAttemptsOf(model: Model, job: string): number {
  const tasks = [...model.failedRuns].filter(([task]) =>
    task.startsWith(`${job}.`)
  );
  const isGang = model.firstSteps.get(job)?.gang === true;
  const gangRuns: FailedRun[] = isGang
    ? tasks.filter(([task]) => task.startsWith(`${job}.0.0.`))
      .flatMap(([, runs]) => runs)
    : [];
  const gangAttempts = new Set(gangRuns.map(({ attempt }) => attempt)).size;
  return Math.max(gangAttempts, ...tasks.map(([, runs]) => runs.length));
}
