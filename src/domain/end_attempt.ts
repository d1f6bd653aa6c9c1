/**
 * What becomes of a placed task when its run has ended.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { RunEnd } from "./worker_report.ts";
import { completeStep, endJob } from "./job_lifecycle.ts";
import { release } from "./placed.ts";
import { stepRecordKey } from "./keys.ts";
import { type StepRun, taskNameOf } from "./step_run.ts";
import { stopTask } from "./stop_task.ts";

/** How a placed task left its worker. */
export type AttemptEnd =
  | RunEnd
  /** Surely never started. */
  | "unstarted"
  /** Gone with its worker. */
  | "lost";

/**
 * Takes a placed task off its worker, and decides whether it is done, waits
 * for another attempt, or has failed its job.
 */
export function endAttempt(
  domain: Domain,
  run: StepRun,
  index: number,
  departure: AttemptEnd,
  moment: Moment,
): void {
  const task = run.tasks[index];
  if (task?.kind !== "placed") return;
  const worker = domain.workers.get(task.worker);
  if (worker !== undefined) release(worker, taskNameOf(run, index));
  domain.dirtyKeys.add(stepRecordKey(run.key));
  if (departure === "done" && !run.step.longRunning) {
    completeTask(domain, run, index, moment);
    return;
  }
  const { attempt, checkpoint } = task;
  const failed = departure === "failed";
  const failures = task.failures + (failed ? 1 : 0);
  run.tasks[index] = { kind: "waiting", attempt, failures, checkpoint };
  run.waitingCount += 1;
  if (run.job.job.outcome !== "open") return;
  if (run.step.atMostOnce && departure !== "unstarted") {
    return endJob(domain, run.job, "failed", moment);
  }
  domain.waitingSteps.add(run);
  if (run.step.gang) endGangAttempt(domain, run, attempt, departure);
  if (hasExhaustedAttempts(run, failures)) {
    endJob(domain, run.job, "failed", moment);
  }
}

/** Takes a task as done; the room of a later attempt stays taken. */
export function completeTask(
  domain: Domain,
  run: StepRun,
  index: number,
  moment: Moment,
): void {
  domain.dirtyKeys.add(stepRecordKey(run.key));
  markDone(run, index);
  // The members of a gang end together, so one end stands for all of them.
  if (run.step.gang) completeGang(run);
  if (run.doneCount === run.step.taskCount) completeStep(domain, run, moment);
}

/** The room of the other members stays taken until their ends are listed. */
function completeGang(run: StepRun): void {
  run.tasks.forEach((task, index) => {
    if (task.kind !== "done") markDone(run, index);
  });
}

function markDone(run: StepRun, index: number): void {
  const task = run.tasks[index]!;
  if (task.kind === "waiting") run.waitingCount -= 1;
  const { attempt, failures } = task;
  run.tasks[index] = { kind: "done", attempt, failures };
  run.doneCount += 1;
}

/** One member's end ends the attempt of the whole gang. */
function endGangAttempt(
  domain: Domain,
  run: StepRun,
  attempt: number,
  departure: AttemptEnd,
): void {
  if (departure === "failed" && run.gangFailedAttempt < attempt) {
    run.gangFailedAttempt = attempt;
    run.gangFailures += 1;
  }
  run.tasks.forEach((other, index) => {
    if (other.kind === "placed" && other.attempt === attempt) {
      stopTask(domain, run, index);
    }
  });
}

function hasExhaustedAttempts(run: StepRun, failures: number): boolean {
  const { step, job } = run;
  if (step.longRunning) return false;
  const count = step.gang ? run.gangFailures : failures;
  return count >= job.job.policy.maxAttempts;
}

/** Whether a departure says something about the worker. */
export function countsAgainstWorker(departure: AttemptEnd): boolean {
  switch (departure) {
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
      return assertNever(departure);
  }
}
