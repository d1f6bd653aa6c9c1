import type { Step } from "./job.ts";
import type { JobRun } from "./job_run.ts";
import type { StepAdvice } from "./step_advice.ts";
import type { TaskProgress } from "./task_progress.ts";

/** One step of one occurrence of a job whose predecessors are done. */
export type StepRun = {
  /** Name of the step within the domain: job, occurrence and index. */
  key: string;
  job: JobRun;
  occurrence: number;
  index: number;
  step: Step;
  tasks: TaskProgress[];
  waitingCount: number;
  doneCount: number;
  /** How often a gang failed as a whole. */
  gangFailures: number;
  /** The attempt of the gang whose failure was counted last. */
  gangFailedAttempt: number;
  advice: StepAdvice;
  /** The time by which the step has to start to meet the objective (wall). */
  latestStartMs: number;
  /** The time after which a start is of no use to the caller (wall). */
  uselessAfterMs: number;
  /** When the step became ready, on the steady clock. */
  readyAtMs: number;
};

/** Name of a task at a worker. */
export function taskNameOf(run: StepRun, index: number): string {
  return `${run.key}.${index}`;
}

/** Reads the step and the index out of a task's name. */
export function parseTaskName(
  name: string,
): { stepKey: string; index: number } | undefined {
  const dot = name.lastIndexOf(".");
  const index = Number(name.slice(dot + 1));
  if (dot <= 0 || !Number.isInteger(index) || index < 0) return undefined;
  return { stepKey: name.slice(0, dot), index };
}
