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
  evidenceOfCrash,
  SUFFICIENT_EVIDENCE,
  survivalProbability,
} from "./crash_evidence.ts";
import { countCrash, crashProbability, observeWorkers } from "./crash_rates.ts";
import {
  certainCrashCountOf,
  crashCountOf,
  crashEvidenceOf,
  isSuspect,
  seenCrashCountOf,
  type StepRun,
  taskNameOf,
} from "./step_run.ts";

/** A task that has run for this long has not crashed its worker, in ms. */
const SETTLE_MS = 1_000;

/**
 * Within this time of a crash that only records tell of, its task may have been
 * started, in milliseconds.
 */
const INFERRED_MS = 10_000;
/** Number of certain crashes after which a task is given up in any case. */
const MAX_CRASHES = 3;
/**
 * The number of crashes that owners have seen after which it is given up if
 * nothing else can have caused the last one, and if its workers would hardly have
 * crashed by themselves.
 */
const MAX_CRASHES_AS_ONLY_SUSPECT = 2;

/**
 * Updates whether a worker has survived the start of a task. A task that has let
 * one of its workers survive is no suspect any more.
 *
 * @param aliveAtMs a time at which the worker ran the task (steady clock)
 */
export function updateSettled(
  domain: Domain,
  worker: DomainWorker,
  ref: PlacedTaskRef,
  aliveAtMs: number,
): void {
  if (ref.isSettled || ref.runningSinceMs === undefined) return;
  if (aliveAtMs - ref.runningSinceMs < SETTLE_MS) return;
  ref.isSettled = true;
  const { run, index } = ref;
  worker.suspects.delete(taskNameOf(run, index));
  if (!run.crashCounts.delete(index)) return;
  run.inferredCrashCounts.delete(index);
  run.doubtfulCrashCounts.delete(index);
  run.crashEvidence.delete(index);
  domain.dirtyKeys.add(stepRecordKey(run.key));
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
  observeWorkers(domain, moment);
  const windowMs = isInferred ? INFERRED_MS : SETTLE_MS;
  const probability = crashProbability(domain, worker, windowMs);
  const hasSuspect = suspects.some(({ run, index }) => isSuspect(run, index));
  if (!hasSuspect) countCrash(domain, worker, moment);
  addEvidence(suspects, distinct, probability);
  for (const { run, index, isDoubtful } of suspects) {
    increment(run.crashCounts, index);
    if (isDoubtful) increment(run.doubtfulCrashCounts, index);
    else if (isInferred) increment(run.inferredCrashCounts, index);
    domain.dirtyKeys.add(stepRecordKey(run.key));
  }
  const descriptions = describeSuspects(suspects, distinct);
  domain.commands.push({
    kind: "report",
    message: "A worker crashed.",
    fields: {
      worker,
      unsettled: descriptions.join(" "),
      expectedPercent: toPercent(probability),
    },
  });
  const isOnlyOne = !isInferred && distinct.size === 1;
  for (const { run, index } of distinct.values()) {
    if (!isGivenUp(run, index, isOnlyOne)) continue;
    domain.commands.push({
      kind: "report",
      message: "Gave up a job whose task crashes its workers.",
      fields: {
        job: run.jobRun.job.id,
        task: taskNameOf(run, index),
        crashes: certainCrashCountOf(run, index),
        evidence: toPowerOfTen(crashEvidenceOf(run, index)),
      },
    });
    endJob(domain, run.jobRun, "failed", moment);
  }
}

/**
 * Adds the evidence of a crash to each task for which it is certain.
 *
 * @param probability the probability of the crash without any of them
 */
function addEvidence(
  suspects: UnsettledTask[],
  distinct: Map<string, UnsettledTask>,
  probability: number,
): void {
  const survivals = new Map(
    [...distinct].map(([key, { run, index }]) => [
      key,
      survivalProbability(crashEvidenceOf(run, index)),
    ]),
  );
  let survival = 1;
  for (const single of survivals.values()) survival *= single;
  for (const suspect of suspects) {
    if (suspect.isDoubtful) continue;
    const otherSurvival = survival / (survivals.get(suspectKey(suspect)) ?? 1);
    const added = evidenceOfCrash(probability, otherSurvival);
    const { run: { crashEvidence }, index } = suspect;
    const evidence = (crashEvidence.get(index) ?? 0) + added;
    crashEvidence.set(index, roundEvidence(evidence));
  }
}

/**
 * The tasks as logged: `NAME:CRASHES/EVIDENCE`, the evidence in powers of ten,
 * with a `?` if this crash is doubtful.
 */
function describeSuspects(
  suspects: UnsettledTask[],
  distinct: Map<string, UnsettledTask>,
): string[] {
  const findings = new Map(
    [...distinct].map(([key, { run, index }]) => {
      const evidence = toPowerOfTen(crashEvidenceOf(run, index));
      return [key, `${crashCountOf(run, index)}/${evidence}`];
    }),
  );
  return suspects.map((suspect) => {
    const { run, index, isDoubtful } = suspect;
    const finding = findings.get(suspectKey(suspect));
    return `${taskNameOf(run, index)}:${finding}${isDoubtful ? "?" : ""}`;
  });
}

/** Members of a gang are one suspect. */
function suspectKey({ run, index }: TaskRef): string {
  return run.step.gang ? run.key : taskNameOf(run, index);
}

function isGivenUp(
  run: StepRun,
  index: number,
  isOnlySuspect: boolean,
): boolean {
  return certainCrashCountOf(run, index) >= MAX_CRASHES ||
    isOnlySuspect &&
      seenCrashCountOf(run, index) >= MAX_CRASHES_AS_ONLY_SUSPECT &&
      crashEvidenceOf(run, index) >= SUFFICIENT_EVIDENCE;
}

/** Rounds evidence so that its record stays short. */
function roundEvidence(evidence: number): number {
  return Math.round(evidence * 100) / 100;
}

/** Converts evidence, a natural logarithm, to a power of ten. */
function toPowerOfTen(evidence: number): number {
  return Math.round(evidence / Math.LN10 * 10) / 10;
}

function toPercent(probability: number): number {
  return Math.round(probability * 1_000) / 10;
}

function increment(counts: Map<number, number>, index: number): void {
  counts.set(index, (counts.get(index) ?? 0) + 1);
}
