/**
 * Adoption of runs that an earlier owner started before their placement was
 * stored.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { Moment } from "./domain_event.ts";
import { completeTask, endAttempt } from "./end_attempt.ts";
import {
  createReadySteps,
  createStepIfReady,
  getOrCreateOccurrence,
} from "./job_lifecycle.ts";
import type { JobRun, Occurrence } from "./job_run.ts";
import { stepRecordKey } from "./record_keys.ts";
import { findTask, parseStepKey, parseTaskName } from "./step_run.ts";
import { placeTask, releaseTask } from "./task_placement.ts";

/**
 * Places a task on the worker that lists a run of it, if the run is a later
 * attempt than any that is known. Its owner had stored the job, and knew that
 * all earlier attempts had ended and that all predecessors were done.
 */
export function adoptRun(
  domain: Domain,
  worker: DomainWorker,
  listed: { task: string; attempt: number },
  moment: Moment,
): void {
  if (isPlacedOn(worker, listed)) return;
  makeStepReady(domain, listed.task, moment);
  const found = findTask(domain, listed.task);
  if (found === undefined || !found.run.jobRun.isRestored) return;
  const { run, index } = found;
  const known = run.tasks[index]!;
  if (known.kind === "done" || known.attempt >= listed.attempt) return;
  if (known.kind === "placed") {
    const earlier = domain.workers.get(known.worker);
    if (earlier !== undefined) releaseTask(earlier, listed.task);
    const { attempt, failures, checkpoint } = known;
    run.tasks[index] = { kind: "waiting", attempt, failures, checkpoint };
    run.waitingCount += 1;
  }
  placeTask(run, index, worker, {
    attempt: listed.attempt,
    nowMs: moment.steadyMs,
    phase: { kind: "recorded" },
  });
  if (run.waitingCount === 0) domain.waitingSteps.delete(run);
  domain.dirtyKeys.add(stepRecordKey(run.key));
  domain.commands.push({
    kind: "report",
    message: "Adopted a run that an earlier owner started.",
    fields: {
      job: run.jobRun.job.id,
      task: listed.task,
      attempt: listed.attempt,
      worker: worker.id,
      knownAttempt: known.attempt,
    },
  });
}

/** Whether the listed attempt, or a later one, is placed on the worker. */
function isPlacedOn(
  worker: DomainWorker,
  listed: { task: string; attempt: number },
): boolean {
  const ref = worker.placed.get(listed.task);
  const task = ref?.run.tasks[ref.index];
  return task?.kind === "placed" && task.worker === worker.id &&
    task.attempt >= listed.attempt;
}

/**
 * Creates the step of a task if it is not ready yet. A run of the task proves
 * that the occurrence was due and that the predecessors of its step are done.
 */
function makeStepReady(domain: Domain, task: string, moment: Moment): void {
  const stepKey = parseTaskName(task)?.stepKey ?? "";
  const parsed = parseStepKey(stepKey);
  if (parsed === undefined || domain.steps.has(stepKey)) return;
  const run = domain.jobs.get(parsed.job);
  if (run === undefined || !run.isRestored) return;
  if (run.job.steps[parsed.index] === undefined) return;
  const total = run.job.schedule?.occurrences ?? 1;
  if (parsed.occurrence >= total) return;
  while (run.nextOccurrence <= parsed.occurrence) {
    const occurrence = getOrCreateOccurrence(run, run.nextOccurrence);
    run.nextOccurrence += 1;
    createReadySteps(domain, run, occurrence, run.job.steps.keys(), moment);
  }
  const occurrence = run.occurrences.get(parsed.occurrence);
  if (occurrence === undefined) return;
  for (const index of findOpenPredecessors(run, occurrence, parsed.index)) {
    completePredecessor(domain, run, occurrence, index, moment);
  }
  createReadySteps(domain, run, occurrence, [parsed.index], moment);
}

/**
 * Finds the direct and indirect predecessors of a step that are not done, in
 * ascending order. A step that has been created has no open predecessors.
 */
function findOpenPredecessors(
  run: JobRun,
  occurrence: Occurrence,
  index: number,
): number[] {
  const open = new Set<number>();
  const missing = [index];
  for (const step of missing) {
    for (const predecessor of run.job.steps[step]?.after ?? []) {
      const known = occurrence.steps.get(predecessor);
      const isDone = known !== undefined &&
        known.doneCount === known.step.taskCount;
      if (isDone || open.has(predecessor)) continue;
      open.add(predecessor);
      if (known === undefined) missing.push(predecessor);
    }
  }
  return [...open].sort((left, right) => left - right);
}

/** Creates a step if it is missing, and marks its tasks as done. */
function completePredecessor(
  domain: Domain,
  run: JobRun,
  occurrence: Occurrence,
  index: number,
  moment: Moment,
): void {
  const { steadyMs } = moment;
  const step = createStepIfReady(domain, run, occurrence, index, steadyMs);
  step?.tasks.forEach((_, position) => {
    const task = step.tasks[position]!;
    if (task.kind === "placed") {
      endAttempt(domain, step, position, "done", moment);
    } else if (task.kind === "waiting") {
      completeTask(domain, step, position, moment);
    }
  });
}
