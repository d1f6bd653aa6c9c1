/**
 * Crashes of workers, and the tasks that may have caused them: a task may crash
 * each worker that starts it.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type {
  DomainWorker,
  PlacedTaskRef,
  TaskRef,
  UnsettledTask,
} from "./domain_worker.ts";
import type { Moment } from "./domain_event.ts";
import { endJob } from "./job_lifecycle.ts";
import { stepRecordKey } from "./record_keys.ts";
import {
  crashCountOf,
  seenCrashCountOf,
  type StepRun,
  taskNameOf,
} from "./step_run.ts";

/** A task that has run for this long has not crashed its worker, in ms. */
const SETTLE_MS = 1_000;

/** Number of crashes after which a task is given up in any case. */
const MAX_CRASHES = 3;
/**
 * The number of crashes that owners have seen after which it is given up if
 * nothing else can have caused the last one.
 */
const MAX_CRASHES_AS_ONLY_SUSPECT = 2;

/**
 * Updates whether a worker has survived the start of a task.
 *
 * @param aliveAtMs a time at which the worker ran the task (steady clock)
 */
export function updateSettled(
  worker: DomainWorker,
  ref: PlacedTaskRef,
  aliveAtMs: number,
): void {
  if (ref.isSettled || ref.runningSinceMs === undefined) return;
  if (aliveAtMs - ref.runningSinceMs < SETTLE_MS) return;
  ref.isSettled = true;
  worker.suspects.delete(taskNameOf(ref.run, ref.index));
}

/**
 * Finds the tasks placed on a worker whose start it may not have survived.
 *
 * @param unansweredStarts the tasks whose start has left without an answer;
 *   undefined if this is unknown
 */
export function findUnsettledTasks(
  worker: DomainWorker,
  unansweredStarts?: string[],
): UnsettledTask[] {
  const unanswered = unansweredStarts && new Set(unansweredStarts);
  return [...worker.placed.values()].flatMap((ref) => {
    const { run, index, isSettled } = ref;
    const task = run.tasks[index];
    if (isSettled || task?.kind !== "placed") return [];
    if (task.worker !== worker.id) return [];
    const mayHaveStarted = task.phase.kind === "recorded" ||
      ref.runningSinceMs !== undefined ||
      unanswered?.has(taskNameOf(run, index)) !== false;
    return mayHaveStarted ? [{ run, index, bornMs: task.bornMs }] : [];
  });
}

/**
 * Counts the crash of a worker against each task whose start it may not have
 * survived, and gives up the jobs of those that have probably caused it.
 *
 * @param isInferred whether only records tell what was started there: a run
 *   may have ended before the crash
 */
export function recordWorkerCrash(
  domain: Domain,
  worker: string,
  unsettled: TaskRef[],
  { moment, isInferred }: { moment: Moment; isInferred: boolean },
): void {
  const suspects = unsettled.filter(({ run, index }) =>
    run.jobRun.job.outcome === "open" && run.tasks[index]?.kind !== "done"
  );
  const isOnlyOne = !isInferred && new Set(suspects.map(suspectKey)).size === 1;
  for (const { run, index } of suspects) {
    increment(run.crashCounts, index);
    if (isInferred) increment(run.inferredCrashCounts, index);
    domain.dirtyKeys.add(stepRecordKey(run.key));
  }
  domain.commands.push({
    kind: "report",
    message: "A worker crashed.",
    fields: {
      worker,
      unsettled: suspects.map((suspect) => describeSuspect(suspect)).join(" "),
    },
  });
  for (const { run, index } of suspects) {
    if (!isGivenUp(run, index, isOnlyOne)) continue;
    endJob(domain, run.jobRun, "failed", moment);
  }
}

/** Members of a gang are one suspect. */
function suspectKey({ run, index }: TaskRef): string {
  return run.step.gang ? run.key : taskNameOf(run, index);
}

/** The task as logged: `NAME:CRASHES`. */
function describeSuspect({ run, index }: TaskRef): string {
  return `${taskNameOf(run, index)}:${crashCountOf(run, index)}`;
}

function isGivenUp(
  run: StepRun,
  index: number,
  isOnlySuspect: boolean,
): boolean {
  return crashCountOf(run, index) >= MAX_CRASHES ||
    isOnlySuspect &&
      seenCrashCountOf(run, index) >= MAX_CRASHES_AS_ONLY_SUSPECT;
}

function increment(counts: Map<number, number>, index: number): void {
  counts.set(index, (counts.get(index) ?? 0) + 1);
}
