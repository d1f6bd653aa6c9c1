/**
 * The lifecycle of a job: its occurrences become due, their steps become ready
 * in dependency order, and the job ends and is purged.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { Job, JobRequest, QueuePolicy, Step } from "./job.ts";
import type { CriticalPaths, JobRun, Occurrence } from "./job_run.ts";
import { jobKey, stepRecordKey } from "./record_keys.ts";
import { createStepAdvice } from "./step_advice.ts";
import type { StepRun } from "./step_run.ts";
import { stopTask } from "./stop_task.ts";
import type { WaitingTask } from "./task_state.ts";

/** Creates the state of a job that has not started. */
export function createJobRun(job: Job): JobRun {
  return {
    job,
    occurrences: new Map(),
    nextOccurrence: 0,
    completedOccurrences: 0,
    hasStarted: false,
    hasBegun: false,
    isStored: false,
    isOutcomeStored: false,
    isRestored: false,
    hasEarlierRecords: false,
    successors: undefined,
    criticalPaths: undefined,
  };
}

/** Returns an occurrence; creates it without ready steps if it is missing. */
export function getOrCreateOccurrence(run: JobRun, number: number): Occurrence {
  const known = run.occurrences.get(number);
  if (known !== undefined) return known;
  const occurrence = {
    number,
    dueAtMs: dueAtMs(run.job, number),
    steps: new Map(),
    openPredecessorCounts: run.job.steps.map(({ after }) => after.length),
    doneStepCount: 0,
    completed: false,
  };
  run.occurrences.set(number, occurrence);
  return occurrence;
}

/** Returns when an occurrence is due, in milliseconds since the epoch. */
export function dueAtMs(job: Job, number: number): number {
  const { schedule } = job;
  if (schedule === undefined) return job.acceptedAtMs;
  return schedule.startAtMs + number * schedule.intervalMs;
}

/**
 * Returns a step of an occurrence; creates it if all its predecessors are done.
 *
 * @returns undefined if the job has no such step or a predecessor is not done
 */
export function createStepIfReady(
  domain: Domain,
  run: JobRun,
  occurrence: Occurrence,
  index: number,
  nowMs: number,
): StepRun | undefined {
  const known = occurrence.steps.get(index);
  if (known !== undefined) return known;
  const step = run.job.steps[index];
  if (step === undefined) return undefined;
  if (occurrence.openPredecessorCounts[index] !== 0) return undefined;
  const created: StepRun = {
    key: `${run.job.id}.${occurrence.number}.${index}`,
    jobRun: run,
    occurrence: occurrence.number,
    index,
    step,
    tasks: Array.from({ length: step.taskCount }, createWaitingTask),
    waitingCount: step.taskCount,
    doneCount: 0,
    gangFailures: 0,
    gangFailedAttempt: 0,
    failureCount: 0,
    storedFailureCount: 0,
    failedOn: new Set(),
    unansweredAtMs: new Map(),
    crashCounts: new Map(),
    inferredCrashCounts: new Map(),
    doubtfulCrashCounts: new Map(),
    crashEvidence: new Map(),
    checkpointCharacters: 0,
    longestIdBytes: 0,
    hasReportedCheckpoints: false,
    advice: createStepAdvice(),
    ...startDeadlines(domain, run, occurrence, index, nowMs),
    readyAtMs: nowMs,
  };
  occurrence.steps.set(index, created);
  domain.steps.set(created.key, created);
  if (run.job.outcome === "open") domain.waitingSteps.add(created);
  return created;
}

function createWaitingTask(): WaitingTask {
  return { kind: "waiting", attempt: 0, failures: 0, checkpoint: undefined };
}

/** A result later than this many times the objective is useless. */
const USEFUL_OBJECTIVE_FACTOR = 3;

/**
 * Computes the latest start of a step that still meets the job's objective, and
 * the time after which starting it is useless.
 */
function startDeadlines(
  domain: Domain,
  run: JobRun,
  occurrence: Occurrence,
  index: number,
  nowMs: number,
): Pick<StepRun, "latestStartMs" | "uselessAfterMs"> {
  const { fromStepMs, longestMs } = criticalPathsOf(domain, run, nowMs);
  const objectiveMs = completionObjectiveMs(run.job.policy, longestMs);
  const ownPathMs = fromStepMs[index] ?? 0;
  return {
    latestStartMs: occurrence.dueAtMs + objectiveMs - ownPathMs,
    uselessAfterMs: occurrence.dueAtMs + USEFUL_OBJECTIVE_FACTOR * objectiveMs -
      ownPathMs,
  };
}

/** Returns the time from due to completed that the queue's policy aims at. */
function completionObjectiveMs(
  { slackFactor, targetCompletionMs }: QueuePolicy,
  longestPathMs: number,
): number {
  return slackFactor * longestPathMs + targetCompletionMs;
}

/**
 * Returns the time within which a job that is due has to start, for its result
 * to be useful, in milliseconds.
 */
export function usefulStartWithinMs(
  domain: Domain,
  { steps }: JobRequest,
  policy: QueuePolicy,
): number {
  const queueMeanMs = domain.meanDurationMsByQueue.get(policy.queue);
  const longestMs = Math.max(...criticalPathsMs(steps, queueMeanMs));
  const objectiveMs = completionObjectiveMs(policy, longestMs);
  return USEFUL_OBJECTIVE_FACTOR * objectiveMs - longestMs;
}

/**
 * Returns the critical paths of a job. They are computed at most once in an
 * event: a report may list many ends, each of which changes the queue's mean.
 */
function criticalPathsOf(
  domain: Domain,
  run: JobRun,
  nowMs: number,
): CriticalPaths {
  const known = run.criticalPaths;
  const queueMeanMs = domain.meanDurationMsByQueue.get(run.job.policy.queue);
  const isCurrent = known !== undefined &&
    (known.queueMeanMs === queueMeanMs || known.computedAtMs === nowMs);
  if (isCurrent) return known;
  const fromStepMs = criticalPathsMs(run.job.steps, queueMeanMs);
  const longestMs = Math.max(...fromStepMs);
  run.criticalPaths = {
    fromStepMs,
    longestMs,
    queueMeanMs,
    computedAtMs: nowMs,
  };
  return run.criticalPaths;
}

/**
 * Returns for each step the longest chain of expected work from its start to
 * the end of the job, in milliseconds.
 */
function criticalPathsMs(
  steps: Step[],
  queueMeanMs: number | undefined,
): number[] {
  const expectedMs = steps.map((step) =>
    expectedDurationMs(step.estimateMs, queueMeanMs)
  );
  const criticalPaths = [...expectedMs];
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    for (const predecessor of steps[index]!.after) {
      const predecessorMs = expectedMs[predecessor];
      if (predecessorMs === undefined) continue;
      criticalPaths[predecessor] = Math.max(
        criticalPaths[predecessor]!,
        predecessorMs + criticalPaths[index]!,
      );
    }
  }
  return criticalPaths;
}

/**
 * Returns the geometric mean of the caller's estimate and the queue's measured
 * mean: estimates are rough, so both have equal weight.
 */
export function expectedDurationMs(
  estimateMs: number,
  queueMeanMs: number | undefined,
): number {
  if (queueMeanMs === undefined) return estimateMs;
  if (estimateMs <= 0) return queueMeanMs;
  return Math.sqrt(estimateMs * queueMeanMs);
}

/** Creates the occurrences that are due, with their ready steps. */
export function startDueOccurrences(domain: Domain, moment: Moment): void {
  for (const run of domain.scheduledJobs) {
    const total = run.job.schedule?.occurrences ?? 1;
    while (
      run.nextOccurrence < total &&
      dueAtMs(run.job, run.nextOccurrence) <= moment.wallMs
    ) {
      const occurrence = getOrCreateOccurrence(run, run.nextOccurrence);
      run.nextOccurrence += 1;
      createReadySteps(domain, run, occurrence, run.job.steps.keys(), moment);
    }
    if (run.nextOccurrence >= total) domain.scheduledJobs.delete(run);
  }
}

/** Creates those of the given steps that are missing and ready. */
export function createReadySteps(
  domain: Domain,
  run: JobRun,
  occurrence: Occurrence,
  indexes: Iterable<number>,
  moment: Moment,
): void {
  for (const index of indexes) {
    if (occurrence.steps.has(index)) continue;
    const step = createStepIfReady(
      domain,
      run,
      occurrence,
      index,
      moment.steadyMs,
    );
    if (step !== undefined) domain.dirtyKeys.add(stepRecordKey(step.key));
  }
}

/**
 * Counts a step as done in its occurrence.
 *
 * @returns the indexes of the steps that follow it
 */
export function countDoneStep(
  run: JobRun,
  occurrence: Occurrence,
  index: number,
): number[] {
  run.successors ??= successorsByStep(run.job);
  const successors = run.successors[index] ?? [];
  occurrence.doneStepCount += 1;
  for (const successor of successors) {
    occurrence.openPredecessorCounts[successor]! -= 1;
  }
  return successors;
}

function successorsByStep({ steps }: Job): number[][] {
  const successors: number[][] = steps.map(() => []);
  steps.forEach(({ after }, index) => {
    for (const predecessor of after) successors[predecessor]?.push(index);
  });
  return successors;
}

/**
 * Records that all tasks of a step are done: makes its successors ready, and
 * ends the job once all its occurrences are complete.
 */
export function completeStep(
  domain: Domain,
  run: StepRun,
  moment: Moment,
): void {
  const { jobRun } = run;
  const occurrence = jobRun.occurrences.get(run.occurrence);
  if (occurrence === undefined) return;
  const successors = countDoneStep(jobRun, occurrence, run.index);
  domain.waitingSteps.delete(run);
  if (jobRun.job.outcome !== "open") return;
  createReadySteps(domain, jobRun, occurrence, successors, moment);
  if (occurrence.doneStepCount < jobRun.job.steps.length) return;
  occurrence.completed = true;
  jobRun.completedOccurrences += 1;
  const total = jobRun.job.schedule?.occurrences ?? 1;
  if (jobRun.completedOccurrences === total) {
    endJob(domain, jobRun, "completed", moment);
  }
}

/** Ends an open job with an outcome and stops its placed tasks. */
export function endJob(
  domain: Domain,
  run: JobRun,
  outcome: "completed" | "failed" | "cancelled",
  moment: Moment,
): void {
  if (run.job.outcome !== "open") return;
  run.job.outcome = outcome;
  run.job.endedAtMs = moment.wallMs;
  domain.dirtyKeys.add(jobKey(run.job.id));
  domain.scheduledJobs.delete(run);
  for (const step of stepRunsOf(run)) {
    domain.waitingSteps.delete(step);
    step.tasks.forEach((_, index) => stopTask(domain, step, index));
  }
  domain.commands.push({
    kind: "report",
    message: "The job ended.",
    fields: {
      job: run.job.id,
      queue: run.job.policy.queue,
      outcome,
      ageMs: moment.wallMs - run.job.acceptedAtMs,
      lateMs: Math.round(moment.wallMs - completionDeadlineMs(domain, run.job)),
    },
  });
  if (canCompact(domain, run)) compactJob(domain, run);
}

/**
 * Whether an ended job may be reduced to its outcome. Jobs under an agreement
 * keep their tasks, which are shown after the end.
 */
function canCompact(domain: Domain, run: JobRun): boolean {
  const { policy, steps } = run.job;
  return policy.agreement === undefined && steps.length > 0 &&
    !mayHavePlacedTasks(domain, run);
}

/**
 * Reduces an ended job to its outcome, which callers can still query. This
 * keeps the records small that a new owner has to read.
 */
function compactJob(domain: Domain, run: JobRun): void {
  for (const step of stepRunsOf(run)) {
    domain.steps.delete(step.key);
    domain.dirtyKeys.add(stepRecordKey(step.key));
  }
  run.occurrences.clear();
  run.job.steps = [];
  run.job.specification = "";
  run.successors = undefined;
  run.criticalPaths = undefined;
  domain.dirtyKeys.add(jobKey(run.job.id));
}

/** Returns the latest on-time completion of a job, in ms since the epoch. */
function completionDeadlineMs(domain: Domain, job: Job): number {
  const queueMeanMs = domain.meanDurationMsByQueue.get(job.policy.queue);
  const longestPathMs = Math.max(...criticalPathsMs(job.steps, queueMeanMs));
  return dueAtMs(job, (job.schedule?.occurrences ?? 1) - 1) +
    completionObjectiveMs(job.policy, longestPathMs);
}

/** Cancels jobs that have not started within their `startWithinMs`. */
export function expireUnstartedJobs(domain: Domain, moment: Moment): void {
  for (const run of domain.jobs.values()) {
    const { startWithinMs, acceptedAtMs } = run.job;
    if (startWithinMs === undefined || run.hasStarted) continue;
    if (mayHaveUnlistedRuns(domain, run)) continue;
    if (moment.wallMs <= acceptedAtMs + startWithinMs) continue;
    endJob(domain, run, "cancelled", moment);
  }
}

/** How far the clocks of two owners may be apart, in milliseconds. */
const MAX_CLOCK_DIFFERENCE_MS = 10_000;

/** Until when a job that ended at a time is known, by any owner's wall clock. */
export function keepsUntilMs(domain: Domain, endedAtMs: number): number {
  return endedAtMs + domain.options.endedJobKeepMs + MAX_CLOCK_DIFFERENCE_MS;
}

/**
 * Compacts ended jobs without placed tasks, and removes those that ended more
 * than `endedJobKeepMs` ago by any clock.
 */
export function purgeEndedJobs(domain: Domain, moment: Moment): void {
  for (const [id, run] of domain.jobs) {
    const { endedAtMs } = run.job;
    if (endedAtMs === undefined || mayHavePlacedTasks(domain, run)) continue;
    if (canCompact(domain, run)) compactJob(domain, run);
    if (moment.wallMs < keepsUntilMs(domain, endedAtMs)) continue;
    compactJob(domain, run);
    domain.jobs.delete(id);
  }
}

/** Whether workers that have not reported yet may run tasks of a job. */
export function mayHaveUnlistedRuns(domain: Domain, run: JobRun): boolean {
  return run.isRestored && domain.unsettledWorkers.size > 0;
}

/** Whether a worker may hold tasks of a job, also unrecorded ones. */
function mayHavePlacedTasks(domain: Domain, run: JobRun): boolean {
  if (mayHaveUnlistedRuns(domain, run)) return true;
  for (const step of stepRunsOf(run)) {
    if (step.tasks.some((task) => task.kind === "placed")) return true;
  }
  return false;
}

function* stepRunsOf(run: JobRun): Generator<StepRun> {
  for (const occurrence of run.occurrences.values()) {
    yield* occurrence.steps.values();
  }
}
