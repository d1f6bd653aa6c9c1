import {
  addResources,
  fitsInto,
  type Manifest,
  NO_RESOURCES,
  subtractResources,
  type WorkKind,
} from "../../src/model/mod.ts";
import type { WorkerConfig } from "../platform/platform.ts";
import type { RunRecord } from "../platform/worker.ts";
import type { WorkItemResult } from "./submit_work_item.ts";
import { parseSpecification } from "./task_payload.ts";

/** The run records and the capacity of a worker. */
export type WorkerHistory = {
  id: string;
  capacity: WorkerConfig["capacity"];
  started: RunRecord[];
};

/** Result of checking work items against the workers' own records. */
export type ExecutionCheck = {
  submitted: number;
  /** Work items whose tasks all finished and were reported so. */
  ran: number;
  /**
   * Tasks that were started again although not idempotent, had overlapping
   * runs, or ran after they were reported as not run.
   */
  twice: number;
  /** Work items that did not run, or whose outcome is missing or wrong. */
  lost: number;
  /** Workers whose concurrent runs exceeded their capacity. */
  overCapacity: number;
  /** One line for each violation counted above. */
  violations: string[];
};

/** Checks work items against the workers' records. */
export function checkExecution(
  workers: WorkerHistory[],
  manifest: Manifest,
  results: WorkItemResult[],
): ExecutionCheck {
  const runs = groupRunsByTask(workers);
  const violations: string[] = [];
  const lost = results.filter((result) => {
    const violation = findOutcomeViolation(result, runs, manifest);
    if (violation !== undefined) {
      violations.push(`lost ${result.workItem.key}: ${violation}`);
    }
    return violation !== undefined;
  });
  const twice = [
    ...findDuplicateRuns(runs, manifest),
    ...findRunsAfterAcknowledgement(runs),
    ...findRunsOfTasksReportedNotRun(runs, results),
  ];
  for (const violation of twice) violations.push(`twice ${violation}`);
  const overCapacity = workers.filter((worker) =>
    isOverCapacity(worker, manifest)
  );
  for (const { id } of overCapacity) violations.push(`over capacity: ${id}`);
  return {
    submitted: results.length,
    ran: results.length - lost.length,
    twice: twice.length,
    lost: lost.length,
    overCapacity: overCapacity.length,
    violations,
  };
}

/** Formats the counts as the closing line of the quickstart. */
export function formatExecutionCheck(check: ExecutionCheck): string {
  const { submitted, ran, twice, lost, overCapacity } = check;
  return `submitted=${submitted} ran=${ran} twice=${twice} lost=${lost} ` +
    `over_capacity=${overCapacity}`;
}

/** Describes how a work item's outcome contradicts the records, if it does. */
function findOutcomeViolation(
  result: WorkItemResult,
  runs: Map<string, RunRecord[]>,
  manifest: Manifest,
): string | undefined {
  const { outcome, requestIds, workItem } = result;
  if (outcome?.kind !== "ran") {
    return `no final outcome; last reply: ${result.lastReply}`;
  }
  const id = requestIds[requestIds.length - 1] ?? "";
  const count = workItem.submission.tasks.length;
  if (outcome.tasks.length !== count) {
    return "the outcome does not cover every task";
  }
  const isGang =
    findWorkKind(manifest, workItem.submission)?.policy.kind === "gang";
  for (const [index, task] of outcome.tasks.entries()) {
    const taskId = formatTaskId(id, index);
    if (task.kind === "didNotRun" && result.resubmission !== undefined) {
      continue;
    }
    // The members of a gang end together, so one completed run covers all.
    const candidateTaskIds = isGang
      ? outcome.tasks.map((_, member) => formatTaskId(id, member))
      : [taskId];
    const hasCompletedRun = candidateTaskIds.some((candidateId) =>
      runs.get(candidateId)?.some(({ end }) => end === "done")
    );
    if (!hasCompletedRun) return `no worker finished ${taskId}`;
    if (task.kind !== "finished") {
      return `${taskId} was reported as ${task.kind}`;
    }
  }
  return findResubmissionViolation(result, runs, manifest);
}

/** The tasks of a work item have equal demands, so they form one step. */
function formatTaskId(id: string, index: number): string {
  return `${id}.0.0.${index}`;
}

/** Checks that the tasks that did not run finished in the resubmission. */
function findResubmissionViolation(
  result: WorkItemResult,
  runs: Map<string, RunRecord[]>,
  manifest: Manifest,
): string | undefined {
  const { outcome, resubmission } = result;
  if (resubmission === undefined) return undefined;
  const notRun = outcome?.kind === "ran"
    ? outcome.tasks.filter((task) => task.kind === "didNotRun")
    : [];
  if (resubmission.workItem.submission.tasks.length !== notRun.length) {
    return "not every task that did not run was resubmitted";
  }
  return findOutcomeViolation(resubmission, runs, manifest);
}

/** Finds non-idempotent tasks started again, and tasks with overlapping runs. */
function findDuplicateRuns(
  runs: Map<string, RunRecord[]>,
  manifest: Manifest,
): string[] {
  const twice: string[] = [];
  for (const [taskId, taskRuns] of runs) {
    if (taskRuns.length < 2) continue;
    const isIdempotent = taskRuns.every((run) =>
      workKindOf(run, manifest).idempotent
    );
    if (!isIdempotent) {
      twice.push(`${taskId} started ${taskRuns.length} times`);
    } else if (hasOverlap(taskRuns)) {
      twice.push(`${taskId} had overlapping runs`);
    }
  }
  return twice;
}

/** Finds tasks that were started again after an acknowledged completion. */
function findRunsAfterAcknowledgement(
  runs: Map<string, RunRecord[]>,
): string[] {
  return [...runs].flatMap(([taskId, taskRuns]) => {
    const completedAtMs = Math.min(
      ...taskRuns
        .filter(({ end, isAcknowledged }) => end === "done" && isAcknowledged)
        .map(({ endedAtMs }) => endedAtMs ?? Infinity),
    );
    const isRepeated = taskRuns.some(({ startedAtMs }) =>
      startedAtMs > completedAtMs
    );
    return isRepeated
      ? [`${taskId} started again after its acknowledged completion`]
      : [];
  });
}

/** Finds runs of tasks that were reported as not run. */
function findRunsOfTasksReportedNotRun(
  runs: Map<string, RunRecord[]>,
  results: WorkItemResult[],
): string[] {
  return results.flatMap(listTasksReportedNotRun)
    .filter((taskId) => runs.has(taskId))
    .map((taskId) => `${taskId} ran, but was reported as not run`);
}

/**
 * Lists the ids of tasks that were reported as not run: all tasks of request
 * ids that were abandoned, and single tasks of the final outcome.
 */
function listTasksReportedNotRun(result: WorkItemResult): string[] {
  const { requestIds, workItem, outcome, resubmission } = result;
  const abandonedTasks = requestIds.slice(0, -1).flatMap((id) =>
    workItem.submission.tasks.map((_task, index) => formatTaskId(id, index))
  );
  const notRunTasks = outcome?.kind === "ran"
    ? outcome.tasks.filter((task) => task.kind === "didNotRun")
      .map((task) => formatTaskId(requestIds.at(-1) ?? "", task.index))
    : [];
  return [
    ...abandonedTasks,
    ...notRunTasks,
    ...(resubmission === undefined
      ? []
      : listTasksReportedNotRun(resubmission)),
  ];
}

function hasOverlap(runs: RunRecord[]): boolean {
  const sorted = [...runs].sort((a, b) => a.startedAtMs - b.startedAtMs);
  return sorted.some((run, index) => {
    const next = sorted[index + 1];
    const endedAtMs = run.endedAtMs ?? Infinity;
    return next !== undefined && next.startedAtMs < endedAtMs;
  });
}

/** Whether the concurrent runs of a worker ever exceeded its capacity. */
function isOverCapacity(worker: WorkerHistory, manifest: Manifest): boolean {
  let inUse = NO_RESOURCES;
  for (const { isStart, demand } of listDemandChanges(worker, manifest)) {
    inUse = isStart
      ? addResources(inUse, demand)
      : subtractResources(inUse, demand);
    if (!fitsInto(inUse, worker.capacity)) return true;
  }
  return false;
}

/** Starts and ends of runs by time; at the same time, ends come first. */
function listDemandChanges({ started }: WorkerHistory, manifest: Manifest) {
  return started
    .filter(({ startedAtMs, endedAtMs = Infinity }) => endedAtMs > startedAtMs)
    .flatMap((run) => {
      const { demand } = workKindOf(run, manifest);
      const { startedAtMs, endedAtMs = Infinity } = run;
      return [
        { atMs: startedAtMs, isStart: true, demand },
        { atMs: endedAtMs, isStart: false, demand },
      ];
    })
    .sort((a, b) => a.atMs - b.atMs || Number(a.isStart) - Number(b.isStart));
}

function workKindOf(run: RunRecord, manifest: Manifest): WorkKind {
  const specification = parseSpecification(run.specification);
  const found = findWorkKind(manifest, specification);
  if (found === undefined) {
    const { agreement, work } = specification;
    throw new Error(`No work ${agreement}/${work}`);
  }
  return found;
}

function findWorkKind(
  manifest: Manifest,
  { agreement, work }: { agreement: string; work: string },
): WorkKind | undefined {
  return manifest.agreements
    .find(({ name }) => name === agreement)?.work
    .find(({ name }) => name === work);
}

function groupRunsByTask(workers: WorkerHistory[]): Map<string, RunRecord[]> {
  const runs = new Map<string, RunRecord[]>();
  for (const run of workers.flatMap(({ started }) => started)) {
    runs.set(run.task, [...runs.get(run.task) ?? [], run]);
  }
  return runs;
}
