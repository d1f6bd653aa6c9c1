/**
 * The life of a job: its occurrences become due, their steps become ready in
 * order, and the job ends.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { Job } from "./job.ts";
import type { JobRun, Occurrence } from "./job_run.ts";
import { jobKey, stepRecordKey } from "./keys.ts";
import { createStepAdvice } from "./step_advice.ts";
import type { StepRun } from "./step_run.ts";
import { stopTask } from "./stop_task.ts";
import type { WaitingTask } from "./task_progress.ts";

/** Creates the state of a job of which nothing has begun. */
export function createJobRun(job: Job): JobRun {
  return {
    job,
    occurrences: new Map(),
    nextOccurrence: 0,
    completedOccurrences: 0,
    hasStarted: false,
  };
}

/** Finds an occurrence, or adds it without ready steps. */
export function getOrCreateOccurrence(run: JobRun, number: number): Occurrence {
  const known = run.occurrences.get(number);
  if (known !== undefined) return known;
  const occurrence = {
    number,
    dueAtMs: dueAtMs(run.job, number),
    steps: new Map(),
    completed: false,
  };
  run.occurrences.set(number, occurrence);
  return occurrence;
}

/** When an occurrence is due, in milliseconds since the epoch. */
export function dueAtMs(job: Job, number: number): number {
  const { schedule } = job;
  if (schedule === undefined) return job.acceptedAtMs;
  return schedule.startAtMs + number * schedule.intervalMs;
}

/**
 * Makes a step ready if its predecessors are done, and returns it; undefined
 * where the job has no such step or a predecessor is not done.
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
  const isDone = (predecessor: number) => {
    const before = occurrence.steps.get(predecessor);
    return before !== undefined && before.doneCount === before.step.taskCount;
  };
  if (!step.after.every(isDone)) return undefined;
  const created: StepRun = {
    key: `${run.job.id}.${occurrence.number}.${index}`,
    job: run,
    occurrence: occurrence.number,
    index,
    step,
    tasks: Array.from({ length: step.taskCount }, createWaitingTask),
    waitingCount: step.taskCount,
    doneCount: 0,
    gangFailures: 0,
    gangFailedAttempt: 0,
    advice: createStepAdvice(),
    ...startDeadlines(domain, run.job, occurrence, index),
    readyAtMs: nowMs,
  };
  occurrence.steps.set(index, created);
  domain.steps.set(created.key, created);
  domain.waitingSteps.add(created);
  return created;
}

function createWaitingTask(): WaitingTask {
  return { kind: "waiting", attempt: 0, failures: 0, checkpoint: undefined };
}

/** A result is of use until this many times the objective. */
const USEFUL_OBJECTIVE_FACTOR = 3;

/** The times by which a step has to start to be on time, and to be of use. */
function startDeadlines(
  domain: Domain,
  job: Job,
  occurrence: Occurrence,
  index: number,
): Pick<StepRun, "latestStartMs" | "uselessAfterMs"> {
  const remaining = criticalPathsMs(job, domain.meanDurationMsByQueue);
  const objectiveMs = completionObjectiveMs(job, remaining);
  const ownMs = remaining[index] ?? 0;
  return {
    latestStartMs: occurrence.dueAtMs + objectiveMs - ownMs,
    uselessAfterMs: occurrence.dueAtMs + USEFUL_OBJECTIVE_FACTOR * objectiveMs -
      ownMs,
  };
}

function completionObjectiveMs(job: Job, remaining: number[]): number {
  const { slackFactor, targetCompletionMs } = job.policy;
  return slackFactor * Math.max(...remaining) + targetCompletionMs;
}

/** For each step, the work from its start to the end of the job, in ms. */
function criticalPathsMs(
  job: Job,
  durations: Map<string, number>,
): number[] {
  const learnedMs = durations.get(job.policy.queue);
  const work = job.steps.map((step) =>
    expectedDurationMs(step.estimateMs, learnedMs)
  );
  const remaining = [...work];
  for (let index = job.steps.length - 1; index >= 0; index -= 1) {
    for (const predecessor of job.steps[index]!.after) {
      const before = work[predecessor];
      if (before === undefined) continue;
      remaining[predecessor] = Math.max(
        remaining[predecessor]!,
        before + remaining[index]!,
      );
    }
  }
  return remaining;
}

/** Estimates are rough, so the queue's mean has an equal say. */
function expectedDurationMs(
  estimateMs: number,
  learnedMs: number | undefined,
): number {
  if (learnedMs === undefined) return estimateMs;
  if (estimateMs <= 0) return learnedMs;
  return Math.sqrt(estimateMs * learnedMs);
}

/** Opens the occurrences that are due. */
export function startDueOccurrences(domain: Domain, moment: Moment): void {
  for (const run of domain.scheduledJobs) {
    const total = run.job.schedule?.occurrences ?? 1;
    while (
      run.nextOccurrence < total &&
      dueAtMs(run.job, run.nextOccurrence) <= moment.wallMs
    ) {
      const occurrence = getOrCreateOccurrence(run, run.nextOccurrence);
      run.nextOccurrence += 1;
      createReadySteps(domain, run, occurrence, moment);
    }
    if (run.nextOccurrence >= total) domain.scheduledJobs.delete(run);
  }
}

/** Makes every step of an occurrence ready whose predecessors are done. */
export function createReadySteps(
  domain: Domain,
  run: JobRun,
  occurrence: Occurrence,
  moment: Moment,
): void {
  run.job.steps.forEach((_, index) => {
    if (occurrence.steps.has(index)) return;
    const step = createStepIfReady(
      domain,
      run,
      occurrence,
      index,
      moment.steadyMs,
    );
    if (step !== undefined) domain.dirtyKeys.add(stepRecordKey(step.key));
  });
}

/** Takes in that all tasks of a step are done. */
export function completeStep(
  domain: Domain,
  run: StepRun,
  moment: Moment,
): void {
  const { job } = run;
  const occurrence = job.occurrences.get(run.occurrence);
  if (occurrence === undefined) return;
  domain.waitingSteps.delete(run);
  if (job.job.outcome !== "open") return;
  createReadySteps(domain, job, occurrence, moment);
  const isComplete = job.job.steps.every((step, index) =>
    occurrence.steps.get(index)?.doneCount === step.taskCount
  );
  if (!isComplete || occurrence.completed) return;
  occurrence.completed = true;
  job.completedOccurrences += 1;
  const total = job.job.schedule?.occurrences ?? 1;
  if (job.completedOccurrences === total) {
    endJob(domain, job, "completed", moment);
  }
}

/** Ends a job, and stops what still runs of it. */
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
  if (canCompact(run)) compactJob(domain, run);
}

/** The tasks of a job under an agreement are shown after its end. */
function canCompact(run: JobRun): boolean {
  const { policy, steps } = run.job;
  return policy.agreement === undefined && steps.length > 0 &&
    !hasPlacedTasks(run);
}

/**
 * Leaves only the outcome of an ended job, which callers still ask for. It
 * keeps the records small that a takeover has to read.
 */
function compactJob(domain: Domain, run: JobRun): void {
  for (const step of stepRunsOf(run)) {
    domain.steps.delete(step.key);
    domain.dirtyKeys.add(stepRecordKey(step.key));
  }
  run.occurrences.clear();
  run.job.steps = [];
  run.job.specification = "";
  domain.dirtyKeys.add(jobKey(run.job.id));
}

/** When a job meets its objective at the latest, in ms since the epoch. */
function completionDeadlineMs(domain: Domain, job: Job): number {
  const remaining = criticalPathsMs(job, domain.meanDurationMsByQueue);
  return dueAtMs(job, (job.schedule?.occurrences ?? 1) - 1) +
    completionObjectiveMs(job, remaining);
}

/** Ends jobs that had to start by now and have not. */
export function expireUnstartedJobs(domain: Domain, moment: Moment): void {
  for (const run of domain.jobs.values()) {
    const { startWithinMs, acceptedAtMs } = run.job;
    if (startWithinMs === undefined || run.hasStarted) continue;
    if (moment.wallMs <= acceptedAtMs + startWithinMs) continue;
    endJob(domain, run, "cancelled", moment);
  }
}

/**
 * Compacts ended jobs of which nothing runs any more, and forgets those whose
 * outcome has been kept for long enough.
 */
export function purgeEndedJobs(domain: Domain, moment: Moment): void {
  const beforeMs = moment.wallMs - domain.options.endedJobKeepMs;
  for (const [id, run] of domain.jobs) {
    const { endedAtMs } = run.job;
    if (endedAtMs === undefined || hasPlacedTasks(run)) continue;
    if (canCompact(run)) compactJob(domain, run);
    if (endedAtMs > beforeMs) continue;
    compactJob(domain, run);
    domain.jobs.delete(id);
  }
}

function hasPlacedTasks(run: JobRun): boolean {
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
