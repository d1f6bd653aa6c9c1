/**
 * The end of a task's attempt: the task completes, is retried, or fails its
 * job.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { RunEnd } from "./worker_report.ts";
import { completeStep, endJob } from "./job_lifecycle.ts";
import { releaseTask } from "./task_placement.ts";
import { stepRecordKey } from "./record_keys.ts";
import { type StepRun, taskNameOf } from "./step_run.ts";
import { stopTask } from "./stop_task.ts";

/** How an attempt ended, as the worker listed it or as the owner inferred. */
export type AttemptEnd =
  | RunEnd
  /** Certainly never started. */
  | "unstarted"
  /** The worker restarted, lost its lease, or confirmed a stop of it. */
  | "lost";

/**
 * Ends the attempt of a placed task and releases its resources on the worker.
 * The task is then done, or waits for another attempt, or has failed its job.
 */
export function endAttempt(
  domain: Domain,
  run: StepRun,
  index: number,
  end: AttemptEnd,
  moment: Moment,
): void {
  const task = run.tasks[index];
  if (task?.kind !== "placed") return;
  const worker = domain.workers.get(task.worker);
  if (worker !== undefined) releaseTask(worker, taskNameOf(run, index));
  domain.dirtyKeys.add(stepRecordKey(run.key));
  if (end === "done" && !run.step.longRunning) {
    completeTask(domain, run, index, moment);
    return;
  }
  const { attempt, checkpoint } = task;
  const failed = end === "failed";
  const failures = task.failures + (failed ? 1 : 0);
  if (failed) run.failureCount += 1;
  run.tasks[index] = { kind: "waiting", attempt, failures, checkpoint };
  run.waitingCount += 1;
  if (run.jobRun.job.outcome !== "open") return;
  if (run.step.atMostOnce && end !== "unstarted") {
    return endJob(domain, run.jobRun, "failed", moment);
  }
  domain.waitingSteps.add(run);
  if (run.step.gang) endGangAttempt(domain, run, { attempt, end, moment });
  if (hasExhaustedAttempts(run, failures)) {
    endJob(domain, run.jobRun, "failed", moment);
  }
}

/**
 * Marks a task as done. If a later attempt is placed, its resources stay
 * allocated until the worker lists its end.
 */
export function completeTask(
  domain: Domain,
  run: StepRun,
  index: number,
  moment: Moment,
): void {
  domain.dirtyKeys.add(stepRecordKey(run.key));
  markDone(run, index);
  // The members of a gang end together, so one that is done completes all.
  if (run.step.gang) completeGang(run);
  if (run.doneCount === run.step.taskCount) completeStep(domain, run, moment);
}

/**
 * Marks all members of a gang as done. The resources of the others stay
 * allocated until the workers list their ends.
 */
function completeGang(run: StepRun): void {
  run.tasks.forEach((task, index) => {
    if (task.kind !== "done") markDone(run, index);
  });
}

function markDone(run: StepRun, index: number): void {
  const task = run.tasks[index]!;
  if (task.kind === "waiting") run.waitingCount -= 1;
  if (task.kind !== "done") {
    run.checkpointCharacters -= task.checkpoint?.length ?? 0;
  }
  const { attempt, failures } = task;
  run.tasks[index] = { kind: "done", attempt, failures };
  run.doneCount += 1;
  run.jobRun.hasBegun = true;
}

/**
 * Stops the other members after one has ended. A failure counts once for each
 * attempt of the gang.
 */
function endGangAttempt(
  domain: Domain,
  run: StepRun,
  { attempt, end, moment }: {
    attempt: number;
    end: AttemptEnd;
    moment: Moment;
  },
): void {
  if (end === "failed" && run.gangFailedAttempt < attempt) {
    run.gangFailedAttempt = attempt;
    run.gangFailures += 1;
  }
  run.tasks.forEach((other, index) => {
    if (other.kind !== "placed" || other.attempt !== attempt) return;
    // The member that ended has waited for those that have not started.
    if (end === "alone" && other.phase.kind === "starting") {
      run.unansweredAtMs.set(other.worker, moment.steadyMs);
    }
    stopTask(domain, run, index);
  });
}

function hasExhaustedAttempts(run: StepRun, failures: number): boolean {
  const { step, jobRun } = run;
  if (step.longRunning) return false;
  const count = step.gang ? run.gangFailures : failures;
  return count >= jobRun.job.policy.maxAttempts;
}

/** Whether the end of an attempt counts as a failure of its worker. */
export function countsAgainstWorker(end: AttemptEnd): boolean {
  switch (end) {
    case "failed":
      return true;
    case "done":
    case "stopped":
    case "lapsed":
    case "broken":
    case "alone":
    case "unstarted":
    case "lost":
      return false;
    default:
      return assertNever(end);
  }
}
