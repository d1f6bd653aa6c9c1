/**
 * The value of a step's record, within the size that the store accepts.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as v from "valibot";
import { assertNever } from "../base/mod.ts";
import type { StepRun } from "./step_run.ts";
import type { TaskState } from "./task_state.ts";

/** Numeric tag of a task's state in the record of its step. */
export const TASK_TAGS = { waiting: 0, placed: 1, done: 2 } as const;
/** Bytes of UTF-8 that a UTF-16 code unit takes at most. */
const MAX_BYTES_PER_UNIT = 3;
const QUOTES_BYTES = 2;

const storedTaskSchema = v.union([
  v.tuple([
    v.literal(TASK_TAGS.waiting),
    v.number(),
    v.number(),
    v.string(),
  ]),
  v.tuple([
    v.literal(TASK_TAGS.placed),
    v.number(),
    v.number(),
    v.string(),
    v.string(),
    /** The worker's incarnation; earlier versions omit it. */
    v.optional(v.number(), 0),
  ]),
  v.tuple([v.literal(TASK_TAGS.done), v.number(), v.number()]),
]);

/** A task as the record of its step has it. */
export type StoredTask = v.InferOutput<typeof storedTaskSchema>;

/** Pairs of a task's index and a number. */
const numbersByTaskSchema = v.array(v.tuple([v.number(), v.number()]));

/** Schema of a step's record. */
export const storedStepSchema = v.object({
  tasks: v.array(storedTaskSchema),
  gangFailures: v.number(),
  gangFailedAttempt: v.number(),
  /** Numbers of worker crashes; earlier versions omit it. */
  crashCounts: v.optional(numbersByTaskSchema),
  /** The same for crashes that only records tell of. */
  inferredCrashCounts: v.optional(numbersByTaskSchema),
  /** The same for crashes that may have come before the start. */
  doubtfulCrashCounts: v.optional(numbersByTaskSchema),
  /** Evidence that tasks crash their workers; earlier versions omit it. */
  crashEvidence: v.optional(numbersByTaskSchema),
});

type StoredStep = v.InferOutput<typeof storedStepSchema>;

/** The value of a step's record, and what it lacks. */
export type StepValue = {
  value: string;
  /** Number of tasks whose checkpoint is not in it. */
  omittedCheckpoints: number;
  /** Number of tasks whose crashes are not in it. */
  omittedCrashes: number;
};

/**
 * Serializes a step. What does not fit is left out in this order: the
 * checkpoints that workers list, those of tasks that wait or begin, and the
 * crashes under the tasks with the least evidence. Attempts and workers of the
 * tasks are always in it.
 *
 * @param maxBytes the size limit of the value, in bytes
 *
 * @example
 * ```ts
 * const { value } = createStepValue(run, maxValueBytes(stepRecordKey(run.key)));
 * ```
 */
export function createStepValue(run: StepRun, maxBytes: number): StepValue {
  const stored = storeStep(run);
  const value = JSON.stringify(stored);
  const fits = value.length * MAX_BYTES_PER_UNIT <= maxBytes ||
    Buffer.byteLength(value) <= maxBytes;
  if (fits) return { value, omittedCheckpoints: 0, omittedCrashes: 0 };
  return createReducedValue(run, stored, maxBytes);
}

function storeStep(run: StepRun): StoredStep {
  return {
    tasks: run.tasks.map(storeTask),
    gangFailures: run.gangFailures,
    gangFailedAttempt: run.gangFailedAttempt,
    ...storeCrashes(run, () => true),
  };
}

/** Returns the numbers of crashes under some of the tasks. */
function storeCrashes(
  run: StepRun,
  isIncluded: (index: number) => boolean,
): Partial<StoredStep> {
  const lists = {
    crashCounts: run.crashCounts,
    inferredCrashCounts: run.inferredCrashCounts,
    doubtfulCrashCounts: run.doubtfulCrashCounts,
    crashEvidence: run.crashEvidence,
  };
  const stored = Object.entries(lists).map(([name, numbers]) =>
    [name, [...numbers].filter(([index]) => isIncluded(index))] as const
  );
  return Object.fromEntries(
    stored.filter(([_, numbers]) => numbers.length > 0),
  );
}

function storeTask(task: TaskState): StoredTask {
  const { attempt, failures } = task;
  switch (task.kind) {
    case "waiting":
      return [TASK_TAGS.waiting, attempt, failures, task.checkpoint ?? ""];
    case "placed": {
      const { checkpoint = "", worker, bornMs } = task;
      return [TASK_TAGS.placed, attempt, failures, checkpoint, worker, bornMs];
    }
    case "done":
      return [TASK_TAGS.done, attempt, failures];
    default:
      return assertNever(task);
  }
}

function createReducedValue(
  run: StepRun,
  stored: StoredStep,
  maxBytes: number,
): StepValue {
  const reduced: StoredStep = {
    tasks: stored.tasks.map(withoutCheckpoint),
    gangFailures: stored.gangFailures,
    gangFailedAttempt: stored.gangFailedAttempt,
  };
  let freeBytes = maxBytes - jsonBytes(reduced);
  const crashed = crashedTasksByEvidence(run);
  const included = new Set<number>();
  for (const index of crashed) {
    const entry = storeCrashes(run, (other) => other === index);
    const bytes = jsonBytes(entry);
    if (bytes > freeBytes) break;
    freeBytes -= bytes;
    included.add(index);
  }
  Object.assign(reduced, storeCrashes(run, (index) => included.has(index)));
  const kept = keepCheckpoints(run, stored.tasks, freeBytes);
  for (const index of kept) reduced.tasks[index] = stored.tasks[index]!;
  const isShared = run.step.gang && kept.length > 0;
  return {
    value: JSON.stringify(reduced),
    omittedCheckpoints: isShared
      ? 0
      : stored.tasks.filter(hasCheckpoint).length - kept.length,
    omittedCrashes: crashed.length - included.size,
  };
}

/** The tasks under which workers crashed, the one with most evidence first. */
function crashedTasksByEvidence(run: StepRun): number[] {
  const { crashCounts, crashEvidence } = run;
  const evidenceOf = (index: number) => crashEvidence.get(index) ?? 0;
  const countOf = (index: number) => crashCounts.get(index) ?? 0;
  return [...new Set([...crashCounts.keys(), ...crashEvidence.keys()])].sort(
    (left, right) =>
      evidenceOf(right) - evidenceOf(left) || countOf(right) - countOf(left),
  );
}

/** Chooses the tasks whose checkpoints fit into the record. */
function keepCheckpoints(
  run: StepRun,
  tasks: StoredTask[],
  maxBytes: number,
): number[] {
  const withCheckpoint = tasks.flatMap((task, index) =>
    hasCheckpoint(task) ? [index] : []
  );
  const isListed = (index: number) => isListedByWorker(run.tasks[index]!);
  const candidates = [
    ...withCheckpoint.filter((index) => !isListed(index)),
    ...withCheckpoint.filter(isListed),
  ];
  const kept: number[] = [];
  let freeBytes = maxBytes;
  for (const index of candidates) {
    const bytes = jsonBytes(checkpointOf(tasks[index]!)) - QUOTES_BYTES;
    if (bytes > freeBytes) continue;
    freeBytes -= bytes;
    kept.push(index);
    // That of one member is valid for all members.
    if (run.step.gang) break;
  }
  return kept;
}

/** Whether the worker of a task lists its checkpoint to a later owner, too. */
function isListedByWorker(task: TaskState): boolean {
  return task.kind === "placed" &&
    (task.phase.kind === "running" || task.phase.kind === "stopping");
}

function checkpointOf(task: StoredTask): string {
  return task[0] === TASK_TAGS.done ? "" : task[3];
}

function hasCheckpoint(task: StoredTask): boolean {
  return checkpointOf(task) !== "";
}

function withoutCheckpoint(task: StoredTask): StoredTask {
  if (task[0] === TASK_TAGS.done) return task;
  const copy: StoredTask = [...task];
  copy[3] = "";
  return copy;
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
