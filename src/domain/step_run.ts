import type { Step } from "./job.ts";
import type { JobRun } from "./job_run.ts";
import type { StepAdvice } from "./step_advice.ts";
import type { TaskState } from "./task_state.ts";

/** A step of one occurrence of a job; its predecessors are done. */
export type StepRun = {
  /** Key of the step in the domain: `<job>.<occurrence>.<index>`. */
  key: string;
  jobRun: JobRun;
  occurrence: number;
  index: number;
  step: Step;
  tasks: TaskState[];
  /** Number of its tasks that wait for a worker. */
  waitingCount: number;
  /** Number of its tasks that are done. */
  doneCount: number;
  /** Number of attempts of the whole gang that failed. */
  gangFailures: number;
  /** The last attempt of the gang whose failure was counted. */
  gangFailedAttempt: number;
  advice: StepAdvice;
  /** The latest start that still meets the objective (wall clock). */
  latestStartMs: number;
  /** The time after which starting it is useless (wall clock). */
  uselessAfterMs: number;
  /** When the step became ready, on the steady clock. */
  readyAtMs: number;
};

/** Returns the name of a task at workers: `<step key>.<index>`. */
export function taskNameOf(run: StepRun, index: number): string {
  return `${run.key}.${index}`;
}

/** Parses a task's name; returns undefined if it is malformed. */
export function parseTaskName(
  name: string,
): { stepKey: string; index: number } | undefined {
  const dot = name.lastIndexOf(".");
  const index = Number(name.slice(dot + 1));
  if (dot <= 0 || !Number.isInteger(index) || index < 0) return undefined;
  return { stepKey: name.slice(0, dot), index };
}
