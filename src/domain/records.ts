/**
 * Serialization of a domain's state to records in the store, and its recovery
 * from them. There is one record for each job, each step of an occurrence that
 * has begun, each worker with a start permit, each day of usage and each owner.
 * A record holds the complete state of its key, so the newest record of every
 * key is the domain's state.
 *
 * @module
 */
import { assertNever, parseAs } from "../base/mod.ts";
import { maxValueBytes } from "../hosts/mod.ts";
import { cancelledIdSchema } from "./cancelled_ids.ts";
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { type Job, jobSchema } from "./job.ts";
import type { JobRun } from "./job_run.ts";
import {
  countDoneStep,
  createJobRun,
  createStepIfReady,
  getOrCreateOccurrence,
} from "./job_lifecycle.ts";
import {
  CANCELLED_PREFIX,
  JOB_PREFIX,
  OWNER_PREFIX,
  ownerKey,
  PERMIT_PREFIX,
  STEP_PREFIX,
  stepRecordKey,
  USAGE_PREFIX,
} from "./record_keys.ts";
import { type OwnerEntry, ownerEntrySchema } from "./owner_entry.ts";
import { createDomainWorker, placeTask } from "./task_placement.ts";
import {
  createStepValue,
  storedStepSchema,
  type StoredTask,
  TASK_TAGS,
} from "./step_record.ts";
import { shareGangCheckpoint } from "./step_limits.ts";
import { parseStepKey, type StepRun } from "./step_run.ts";
import { confirmPermit, startPermitSchema } from "./start_permit.ts";
import type { DayUsage } from "./usage.ts";
import { createUsageRecords, readUsageRecords } from "./usage_records.ts";

/** A key with its new value; undefined deletes the key. */
export type DomainRecord = {
  key: string;
  value: string | undefined;
  /**
   * What the value includes: the number of failures of a step, of changes of a
   * permit, or of ends of a job. Not stored.
   */
  revision?: number;
};

/**
 * Returns the included records that changed since the last call, and marks them
 * clean.
 * The caller has to write them to the store, in this order if it needs several
 * appends: the outcome of a job comes before the deletion of its steps, without
 * which its tasks would be restored as waiting.
 *
 * @example
 * ```ts
 * const records = drainDirtyRecords(domain);
 * ```
 */
export function drainDirtyRecords(
  domain: Domain,
  isIncluded: (key: string) => boolean = () => true,
): DomainRecord[] {
  const dirtyKeys = [...domain.dirtyKeys].filter(isIncluded);
  for (const key of dirtyKeys) domain.dirtyKeys.delete(key);
  const isJob = (key: string) => key.startsWith(JOB_PREFIX);
  const keys = [
    ...dirtyKeys.filter(isJob),
    ...dirtyKeys.filter((key) => !isJob(key)),
  ];
  return keys.flatMap((key): DomainRecord[] => {
    const usage = usageOf(domain, key);
    if (usage !== undefined) return usage;
    const value = recordValueOf(domain, key);
    const revision = revisionOf(domain, key);
    return [revision === undefined ? { key, value } : { key, value, revision }];
  });
}

/** The records of a day of usage; undefined if the key is of another kind. */
function usageOf(domain: Domain, key: string): DomainRecord[] | undefined {
  if (!key.startsWith(USAGE_PREFIX)) return undefined;
  const day = key.slice(USAGE_PREFIX.length);
  const usage = domain.usage.get(day);
  return usage === undefined ? undefined : createUsageRecords(day, usage);
}

function revisionOf(domain: Domain, key: string): number | undefined {
  if (key.startsWith(PERMIT_PREFIX)) {
    return domain.startPermits.get(key.slice(PERMIT_PREFIX.length))?.revision;
  }
  if (key.startsWith(JOB_PREFIX)) {
    const run = domain.jobs.get(key.slice(JOB_PREFIX.length));
    return run === undefined || run.job.outcome === "open" ? 0 : 1;
  }
  if (!key.startsWith(STEP_PREFIX)) return undefined;
  return domain.steps.get(key.slice(STEP_PREFIX.length))?.failureCount;
}

/**
 * Records that the store has confirmed records of the domain: tasks of their
 * jobs may be started where a permit is stored.
 *
 * @example
 * ```ts
 * const records = drainDirtyRecords(domain);
 * // ...once the store has confirmed them:
 * recordCommitted(domain, records);
 * ```
 */
export function recordCommitted(
  domain: Domain,
  records: DomainRecord[],
): void {
  for (const { key, value, revision } of records) {
    if (key.startsWith(STEP_PREFIX)) {
      const step = domain.steps.get(key.slice(STEP_PREFIX.length));
      if (step !== undefined) step.storedFailureCount = revision ?? 0;
    } else if (key.startsWith(JOB_PREFIX)) {
      const run = domain.jobs.get(key.slice(JOB_PREFIX.length));
      if (run === undefined || value === undefined) continue;
      run.isStored = true;
      if (revision === 1) run.isOutcomeStored = true;
    } else if (key.startsWith(PERMIT_PREFIX)) {
      confirmPermit(domain, key.slice(PERMIT_PREFIX.length), revision);
    }
  }
}

/**
 * Creates the record of an owner. It is written by the append that raises the
 * epoch.
 *
 * @example
 * ```ts
 * ownerRecord({ instance: "10.1.0.30:7380", epoch: 7 }).key; // "owner/7"
 * ```
 */
export function ownerRecord(owner: OwnerEntry): DomainRecord {
  return { key: ownerKey(owner.epoch), value: JSON.stringify(owner) };
}

function recordValueOf(domain: Domain, key: string): string | undefined {
  if (key.startsWith(OWNER_PREFIX)) {
    const owner = domain.owners.find(({ epoch }) => ownerKey(epoch) === key);
    return owner === undefined ? undefined : ownerRecord(owner).value;
  }
  if (key.startsWith(CANCELLED_PREFIX)) {
    const id = key.slice(CANCELLED_PREFIX.length);
    const cancelledAtMs = domain.cancelledIds.get(id);
    return cancelledAtMs === undefined
      ? undefined
      : JSON.stringify({ cancelledAtMs });
  }
  if (key.startsWith(PERMIT_PREFIX)) {
    const permit = domain.startPermits.get(key.slice(PERMIT_PREFIX.length));
    if (permit === undefined || permit.phase === "revoking") return undefined;
    return JSON.stringify({ bornMs: permit.bornMs });
  }
  if (key.startsWith(JOB_PREFIX)) {
    const run = domain.jobs.get(key.slice(JOB_PREFIX.length));
    return run === undefined ? undefined : JSON.stringify(run.job);
  }
  const run = domain.steps.get(key.slice(STEP_PREFIX.length));
  return run === undefined ? undefined : serializeStep(domain, run);
}

/** Serializes a step, and logs once what its record has no room for. */
function serializeStep(domain: Domain, run: StepRun): string {
  const maxBytes = maxValueBytes(stepRecordKey(run.key));
  const created = createStepValue(run, maxBytes);
  const { value, omittedCheckpoints, omittedCrashes } = created;
  const isReduced = omittedCheckpoints + omittedCrashes > 0;
  if (isReduced && !run.hasReportedCheckpoints) {
    run.hasReportedCheckpoints = true;
    domain.commands.push({
      kind: "report",
      message: "The record of a step has no room for all of it.",
      fields: {
        job: run.jobRun.job.id,
        step: run.key,
        tasks: run.step.taskCount,
        omittedCheckpoints,
        omittedCrashes,
      },
    });
  }
  return value;
}

/**
 * Restores the state of an empty domain from the newest record of each key.
 * Placed tasks get the phase `recorded`: the first report of their worker shows
 * whether they run.
 *
 * @returns the keys whose records cannot be read, with the reason
 *
 * @example
 * ```ts
 * const unreadable = restoreDomain(domain, records, nowMs);
 * ```
 */
export function restoreDomain(
  domain: Domain,
  records: DomainRecord[],
  nowMs: number,
): { key: string; reason: string }[] {
  const { usage, unreadable } = readUsageRecords(records);
  for (const [day, dayUsage] of usage) domain.usage.set(day, dayUsage);
  const steps = new Map<string, string>();
  for (const { key, value } of records) {
    if (value === undefined) continue;
    if (key.startsWith(STEP_PREFIX)) {
      steps.set(key.slice(STEP_PREFIX.length), value);
      continue;
    }
    if (key.startsWith(USAGE_PREFIX)) continue;
    if (key.startsWith(CANCELLED_PREFIX)) {
      const id = key.slice(CANCELLED_PREFIX.length);
      const cancelled = parseAs(cancelledIdSchema, value);
      if (cancelled.isErr()) unreadable.push({ key, reason: cancelled.error });
      else domain.cancelledIds.set(id, cancelled.value.cancelledAtMs);
      continue;
    }
    if (key.startsWith(OWNER_PREFIX)) {
      const owner = parseAs(ownerEntrySchema, value);
      if (owner.isErr()) unreadable.push({ key, reason: owner.error });
      else domain.owners.push(owner.value);
      continue;
    }
    if (key.startsWith(PERMIT_PREFIX)) {
      const permit = parseAs(startPermitSchema, value);
      if (permit.isErr()) unreadable.push({ key, reason: permit.error });
      // Starts may have left under a permit that cannot be read, too.
      const bornMs = permit.map((read) => read.bornMs).unwrapOr(0);
      restorePermit(domain, key.slice(PERMIT_PREFIX.length), bornMs);
      continue;
    }
    const job = parseAs(jobSchema, value);
    if (job.isErr()) unreadable.push({ key, reason: job.error });
    else restoreJob(domain, job.value);
  }
  for (const [stepKey, value] of sortByOccurrenceAndStep(steps)) {
    const reason = restoreStep(domain, stepKey, value, nowMs);
    if (reason === undefined) continue;
    unreadable.push({ key: stepRecordKey(stepKey), reason });
  }
  for (const run of domain.jobs.values()) {
    if (run.job.outcome === "open") restoreOccurrences(domain, run, nowMs);
  }
  domain.dirtyKeys.clear();
  domain.commands.length = 0;
  return unreadable;
}

/**
 * Reads the usage of each day, keyed by date such as `2026-12-04`, from the
 * records of a domain. Unreadable records are skipped.
 *
 * @example
 * ```ts
 * for (const [day, usage] of readUsage(records)) add(day, usage);
 * ```
 */
export function* readUsage(
  records: DomainRecord[],
): Generator<[string, DayUsage]> {
  yield* readUsageRecords(records).usage;
}

function restoreJob(domain: Domain, job: Job): void {
  domain.jobs.set(job.id, {
    ...createJobRun(job),
    isStored: true,
    isOutcomeStored: job.outcome !== "open",
    isRestored: true,
  });
}

/** Restores a permit, under which an earlier owner may have started tasks. */
function restorePermit(domain: Domain, worker: string, bornMs: number): void {
  domain.startPermits.set(worker, { bornMs, revision: 0, phase: "granted" });
  domain.unsettledWorkers.add(worker);
  getOrCreateWorker(domain, worker);
}

function getOrCreateWorker(domain: Domain, id: string): DomainWorker {
  const known = domain.workers.get(id);
  if (known !== undefined) return known;
  const worker = createDomainWorker(id, domain);
  domain.workers.set(id, worker);
  return worker;
}

/** Sorts steps by occurrence and index, which puts predecessors first. */
function sortByOccurrenceAndStep(
  steps: Map<string, string>,
): [string, string][] {
  const position = (key: string) => {
    const { occurrence = 0, index = 0 } = parseStepKey(key) ?? {};
    return [occurrence, index] as const;
  };
  return [...steps].sort(([left], [right]) => {
    const [leftOccurrence, leftIndex] = position(left);
    const [rightOccurrence, rightIndex] = position(right);
    return leftOccurrence - rightOccurrence || leftIndex - rightIndex;
  });
}

function restoreStep(
  domain: Domain,
  stepKey: string,
  value: string,
  nowMs: number,
): string | undefined {
  const parsed = parseStepKey(stepKey);
  if (parsed === undefined) return "its key is malformed";
  const { job, occurrence, index } = parsed;
  const run = domain.jobs.get(job);
  if (run === undefined) return "its job is unknown";
  const stored = parseAs(storedStepSchema, value);
  if (stored.isErr()) return stored.error;
  const restored = getOrCreateOccurrence(run, occurrence);
  const step = createStepIfReady(domain, run, restored, index, nowMs);
  if (step === undefined) return "its job has no such step";
  step.gangFailures = stored.value.gangFailures;
  step.gangFailedAttempt = stored.value.gangFailedAttempt;
  step.crashCounts = new Map(stored.value.crashCounts);
  step.inferredCrashCounts = new Map(stored.value.inferredCrashCounts);
  step.doubtfulCrashCounts = new Map(stored.value.doubtfulCrashCounts);
  step.crashEvidence = new Map(stored.value.crashEvidence);
  stored.value.tasks.forEach((task, position) => {
    restoreTask(domain, step, position, task, nowMs);
  });
  restoreCheckpoints(step);
  if (step.waitingCount === 0) domain.waitingSteps.delete(step);
  if (step.doneCount === step.step.taskCount) {
    countDoneStep(run, restored, index);
  }
  return undefined;
}

function restoreTask(
  domain: Domain,
  run: StepRun,
  index: number,
  stored: StoredTask,
  nowMs: number,
): void {
  if (run.tasks[index] === undefined) return;
  const [tag, attempt, failures] = stored;
  if (attempt > 0) run.jobRun.hasStarted = true;
  if (tag === TASK_TAGS.done || failures > 0) run.jobRun.hasBegun = true;
  switch (stored[0]) {
    case TASK_TAGS.waiting: {
      const [, attempt, failures, checkpoint] = stored;
      run.tasks[index] = {
        kind: "waiting",
        attempt,
        failures,
        checkpoint: checkpoint === "" ? undefined : checkpoint,
      };
      return;
    }
    case TASK_TAGS.placed: {
      const [, attempt, failures, checkpoint, workerId, bornMs] = stored;
      const worker = getOrCreateWorker(domain, workerId);
      run.tasks[index] = {
        kind: "waiting",
        attempt: attempt - 1,
        failures,
        checkpoint: checkpoint === "" ? undefined : checkpoint,
      };
      placeTask(run, index, worker, {
        attempt,
        nowMs,
        phase: { kind: "recorded" },
        bornMs,
      });
      return;
    }
    case TASK_TAGS.done: {
      const [, attempt, failures] = stored;
      run.tasks[index] = { kind: "done", attempt, failures };
      run.waitingCount -= 1;
      run.doneCount += 1;
      return;
    }
    default:
      return assertNever(stored);
  }
}

/**
 * Counts the checkpoints of a step. A record without room for those of all
 * members of a gang has that of one, which is valid for all.
 */
function restoreCheckpoints(run: StepRun): void {
  const checkpoints = run.tasks.flatMap((task) =>
    task.kind === "done" ? [] : [task.checkpoint]
  );
  const present = checkpoints.filter((checkpoint) => checkpoint !== undefined);
  run.checkpointCharacters = present.join("").length;
  const [first] = present;
  if (run.step.gang && first !== undefined && present.length === 1) {
    shareGangCheckpoint(run, first);
  }
}

/**
 * Creates the steps of the known occurrences that are ready but have no record,
 * and recomputes which occurrences are completed and which comes next.
 */
function restoreOccurrences(
  domain: Domain,
  run: JobRun,
  nowMs: number,
): void {
  const { job } = run;
  if (job.schedule === undefined) getOrCreateOccurrence(run, 0);
  const numbers = [...run.occurrences.keys()];
  run.nextOccurrence = Math.max(0, ...numbers.map((number) => number + 1));
  for (const occurrence of run.occurrences.values()) {
    job.steps.forEach((_, index) => {
      createStepIfReady(domain, run, occurrence, index, nowMs);
    });
    occurrence.completed = occurrence.doneStepCount === job.steps.length;
    if (occurrence.completed) run.completedOccurrences += 1;
  }
  const total = job.schedule?.occurrences ?? 1;
  if (run.nextOccurrence < total) domain.scheduledJobs.add(run);
}
