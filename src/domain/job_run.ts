import type { Job } from "./job.ts";
import type { StepRun } from "./step_run.ts";

/** An accepted job with the state of its occurrences. */
export type JobRun = {
  job: Job;
  occurrences: Map<number, Occurrence>;
  /** The next occurrence that has not begun. */
  nextOccurrence: number;
  completedOccurrences: number;
  /** Whether a task was ever started. */
  hasStarted: boolean;
};

/** One repetition of a job; a job without a schedule has one, number 0. */
export type Occurrence = {
  number: number;
  dueAtMs: number;
  /** By index of the step; a step is absent until it is ready. */
  steps: Map<number, StepRun>;
  completed: boolean;
};
