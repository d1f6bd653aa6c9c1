import type { Domain } from "./domain.ts";
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
  /** Number of failed attempts of its tasks that this owner has counted. */
  failureCount: number;
  /** How many of them are known to be stored. */
  storedFailureCount: number;
  /** The workers on which attempts of its tasks failed under this owner. */
  failedOn: Set<string>;
  /**
   * When workers last did not answer a start of its tasks in time, on the steady
   * clock; without those that have answered one since.
   */
  unansweredAtMs: Map<string, number>;
  /** Number of worker crashes just after a task started, by its index. */
  crashCounts: Map<number, number>;
  /** How many of them only records tell of; see `recordWorkerCrash`. */
  inferredCrashCounts: Map<number, number>;
  /** How many of them may have come before the start reached the worker. */
  doubtfulCrashCounts: Map<number, number>;
  /**
   * The evidence that a task crashes its workers, by its index, as a logarithm;
   * see `crash_evidence.ts`.
   */
  crashEvidence: Map<number, number>;
  /** Number of characters in the checkpoints of its tasks. */
  checkpointCharacters: number;
  /** Size of the longest id of a worker that its tasks were placed on. */
  longestIdBytes: number;
  /** Whether it was logged that checkpoints of the step are not kept. */
  hasReportedCheckpoints: boolean;
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

/**
 * Whether a step belongs to the excess of its client account. Steps that run
 * until their job is cancelled never do, since they must not stand still.
 */
export function isExcess({ step, jobRun }: StepRun): boolean {
  return jobRun.job.isBeyondRate === true && !step.longRunning;
}

/**
 * Whether a worker has crashed just after a task, or another member of its
 * gang, started.
 */
export function isSuspect(run: StepRun, index: number): boolean {
  const { step, crashCounts } = run;
  return step.gang ? crashCounts.size > 0 : crashCounts.has(index);
}

/**
 * How many workers have crashed just after a task started. A crash under one
 * member of a gang counts for all of them.
 */
export function crashCountOf(run: StepRun, index: number): number {
  if (!run.step.gang) return run.crashCounts.get(index) ?? 0;
  return Math.max(0, ...run.crashCounts.values());
}

/** The same without the crashes that may have come before the start. */
export function certainCrashCountOf(run: StepRun, index: number): number {
  return countCrashes(run, index, [run.doubtfulCrashCounts]);
}

/** The same also without the crashes that only records tell of. */
export function seenCrashCountOf(run: StepRun, index: number): number {
  const excluded = [run.doubtfulCrashCounts, run.inferredCrashCounts];
  return countCrashes(run, index, excluded);
}

/**
 * The evidence that a task crashes its workers, as a logarithm. Evidence against
 * one member of a gang counts for all of them.
 */
export function crashEvidenceOf(run: StepRun, index: number): number {
  if (!run.step.gang) return run.crashEvidence.get(index) ?? 0;
  return Math.max(0, ...run.crashEvidence.values());
}

function countCrashes(
  run: StepRun,
  index: number,
  excluded: Map<number, number>[],
): number {
  const indexes = run.step.gang ? run.crashCounts.keys() : [index];
  const counts = [...indexes].map((member) =>
    excluded.reduce(
      (count, counts) => count - (counts.get(member) ?? 0),
      run.crashCounts.get(member) ?? 0,
    )
  );
  return Math.max(0, ...counts);
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

/**
 * Returns the id of the job to which a task belongs; undefined if its name is
 * malformed.
 *
 * @example
 * ```ts
 * jobOfTask("5c0e7a21d94b36f8.0.1.17"); // "5c0e7a21d94b36f8"
 * ```
 */
export function jobOfTask(name: string): string | undefined {
  const parsed = parseTaskName(name);
  return parsed === undefined ? undefined : parseStepKey(parsed.stepKey)?.job;
}

/** Parses the key of a step; returns undefined if it is malformed. */
export function parseStepKey(
  key: string,
): { job: string; occurrence: number; index: number } | undefined {
  const indexDot = key.lastIndexOf(".");
  const occurrenceDot = key.lastIndexOf(".", indexDot - 1);
  if (occurrenceDot <= 0) return undefined;
  const occurrence = Number(key.slice(occurrenceDot + 1, indexDot));
  const index = Number(key.slice(indexDot + 1));
  if (!isCount(occurrence) || !isCount(index)) return undefined;
  return { job: key.slice(0, occurrenceDot), occurrence, index };
}

function isCount(value: number): boolean {
  return Number.isInteger(value) && value >= 0;
}

/** Finds a task by its name at workers. */
export function findTask(
  domain: Domain,
  name: string,
): { run: StepRun; index: number } | undefined {
  const parsed = parseTaskName(name);
  if (parsed === undefined) return undefined;
  const run = domain.steps.get(parsed.stepKey);
  if (run === undefined || run.tasks[parsed.index] === undefined) {
    return undefined;
  }
  return { run, index: parsed.index };
}
