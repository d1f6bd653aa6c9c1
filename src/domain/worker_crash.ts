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
  certainCrashCountOf,
  crashCountOf,
  seenCrashCountOf,
  type StepRun,
  taskNameOf,
} from "./step_run.ts";

/** A task that has run for this long has not crashed its worker, in ms. */
const SETTLE_MS = 1_000;

/** Number of certain crashes after which a task is given up in any case. */
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

/** What a link knows of the starts that its worker has not answered. */
export type UnansweredStarts = {
  /** The tasks whose start has left; undefined if this is unknown. */
  unansweredStarts?: string[] | undefined;
  /** Those of them that certainly reached the worker. */
  reachedStarts?: string[] | undefined;
};

/**
 * Finds the tasks placed on a worker whose start it may not have survived. A
 * start without an answer may have been sent to a worker that was already down.
 */
export function findUnsettledTasks(
  worker: DomainWorker,
  { unansweredStarts, reachedStarts }: UnansweredStarts = {},
): UnsettledTask[] {
  const unanswered = unansweredStarts && new Set(unansweredStarts);
  const reached = new Set(reachedStarts);
  return [...worker.placed.values()].flatMap((ref) => {
    const { run, index, isSettled } = ref;
    const task = run.tasks[index];
    if (isSettled || task?.kind !== "placed") return [];
    if (task.worker !== worker.id) return [];
    const name = taskNameOf(run, index);
    const isKnown = task.phase.kind === "recorded" ||
      ref.runningSinceMs !== undefined;
    if (!isKnown && unanswered?.has(name) === false) return [];
    const isDoubtful = !isKnown && !reached.has(name);
    return [{ run, index, bornMs: task.bornMs, isDoubtful }];
  });
}

/**
 * Counts the crash of a worker against each task whose start it may not have
 * survived, and gives up the jobs of those that have probably caused it. A crash
 * that is doubtful for a task only makes it a suspect, whose next start is sent
 * to a worker that has just answered.
 *
 * @param isInferred whether only records tell what was started there: a run
 *   may have ended before the crash
 */
export function recordWorkerCrash(
  domain: Domain,
  worker: string,
  unsettled: UnsettledTask[],
  { moment, isInferred }: { moment: Moment; isInferred: boolean },
): void {
  const suspects = unsettled.filter(({ run, index }) =>
    run.jobRun.job.outcome === "open" && run.tasks[index]?.kind !== "done"
  );
  const distinct = new Map(
    suspects.map((suspect) => [suspectKey(suspect), suspect]),
  );
  const isOnlyOne = !isInferred && distinct.size === 1;
  for (const { run, index, isDoubtful } of suspects) {
    increment(run.crashCounts, index);
    if (isDoubtful) increment(run.doubtfulCrashCounts, index);
    else if (isInferred) increment(run.inferredCrashCounts, index);
    domain.dirtyKeys.add(stepRecordKey(run.key));
  }
  const counts = new Map(
    [...distinct].map(([key, { run, index }]) => [
      key,
      crashCountOf(run, index),
    ]),
  );
  const describe = (suspect: UnsettledTask) =>
    describeSuspect(suspect, counts.get(suspectKey(suspect)) ?? 0);
  domain.commands.push({
    kind: "report",
    message: "A worker crashed.",
    fields: { worker, unsettled: suspects.map(describe).join(" ") },
  });
  for (const { run, index } of distinct.values()) {
    if (!isGivenUp(run, index, isOnlyOne)) continue;
    endJob(domain, run.jobRun, "failed", moment);
  }
}

/** Members of a gang are one suspect. */
function suspectKey({ run, index }: TaskRef): string {
  return run.step.gang ? run.key : taskNameOf(run, index);
}

/** The task as logged: `NAME:CRASHES`, with a `?` if this one is doubtful. */
function describeSuspect(
  { run, index, isDoubtful }: UnsettledTask,
  crashCount: number,
): string {
  const doubt = isDoubtful ? "?" : "";
  return `${taskNameOf(run, index)}:${crashCount}${doubt}`;
}

function isGivenUp(
  run: StepRun,
  index: number,
  isOnlySuspect: boolean,
): boolean {
  return certainCrashCountOf(run, index) >= MAX_CRASHES ||
    isOnlySuspect &&
      seenCrashCountOf(run, index) >= MAX_CRASHES_AS_ONLY_SUSPECT;
}

function increment(counts: Map<number, number>, index: number): void {
  counts.set(index, (counts.get(index) ?? 0) + 1);
}
