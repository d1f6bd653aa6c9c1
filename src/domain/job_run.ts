import type { Job } from "./job.ts";
import type { StepRun } from "./step_run.ts";

/** An accepted job with the state of its occurrences. */
export type JobRun = {
  job: Job;
  occurrences: Map<number, Occurrence>;
  /** Number of the next occurrence to create. */
  nextOccurrence: number;
  completedOccurrences: number;
  /** Whether a start may have been sent: a task was placed, or may have been. */
  hasStarted: boolean;
  /** Whether a worker is known to have begun a task. */
  hasBegun: boolean;
  /** Whether its record is known to be in the store. */
  isStored: boolean;
  /** Whether the record of its end is known to be in the store. */
  isOutcomeStored: boolean;
  /** Whether an earlier owner accepted it. */
  isRestored: boolean;
  /** By index of a step, those that follow it; from its first completion. */
  successors: number[][] | undefined;
  /**
   * Whether the store may have records of an earlier job with its id, of which
   * the deletion has not been sent.
   */
  hasEarlierRecords: boolean;
  /** From the creation of its first step. */
  criticalPaths: CriticalPaths | undefined;
};

/** The longest chains of expected work in a job, in milliseconds. */
export type CriticalPaths = {
  /** By index of a step, from its start to the end of the job. */
  fromStepMs: number[];
  longestMs: number;
  /** The mean duration of the queue's tasks on which they are based. */
  queueMeanMs: number | undefined;
  /** When they were computed, on the steady clock. */
  computedAtMs: number;
};

/** One repetition of a job; a job without a schedule has only number 0. */
export type Occurrence = {
  number: number;
  dueAtMs: number;
  /** By index of the step, from when its predecessors are done. */
  steps: Map<number, StepRun>;
  /** By index of the step, the number of its predecessors that are not done. */
  openPredecessorCounts: number[];
  doneStepCount: number;
  completed: boolean;
};
