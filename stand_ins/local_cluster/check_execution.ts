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

/** What a worker remembers, and what it has room for. */
export type WorkerHistory = {
  id: string;
  capacity: WorkerConfig["capacity"];
  started: RunRecord[];
};

/** What the workers' own records say of a set of orders. */
export type ExecutionCheck = {
  submitted: number;
  /** Orders whose every task finished, and whose caller heard so. */
  ran: number;
  /** Tasks that ran twice, in two places, or after "did not run". */
  twice: number;
  /** Orders that did not run, or whose caller heard no or a wrong answer. */
  lost: number;
  /** Workers that held more than their capacity. */
  overCapacity: number;
  /** A line for each order and task that is counted as wrong. */
  violations: string[];
};

/** Judges orders by the workers' records. */
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
    ...findRunsOfDeniedTasks(runs, results),
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

/** Writes a verdict as the one line that the quickstart closes with. */
export function formatExecutionCheck(verdict: ExecutionCheck): string {
  const { submitted, ran, twice, lost, overCapacity } = verdict;
  return `submitted=${submitted} ran=${ran} twice=${twice} lost=${lost} ` +
    `over_capacity=${overCapacity}`;
}

function findOutcomeViolation(
  result: WorkItemResult,
  runs: Map<string, RunRecord[]>,
  manifest: Manifest,
): string | undefined {
  const { outcome, requestIds, workItem } = result;
  if (outcome?.kind !== "ran") {
    return `its caller heard no final answer, but ${result.lastReply}`;
  }
  const id = requestIds[requestIds.length - 1] ?? "";
  const count = workItem.submission.tasks.length;
  if (outcome.tasks.length !== count) return "the answer is not whole";
  const isGang =
    findWorkKind(manifest, workItem.submission)?.policy.kind === "gang";
  for (const [index, task] of outcome.tasks.entries()) {
    const taskId = formatTaskId(id, index);
    if (task.kind === "didNotRun" && result.resubmission !== undefined) {
      continue;
    }
    // The members of a gang end together: one end stands for all of them.
    const candidateTaskIds = isGang
      ? outcome.tasks.map((_, member) => formatTaskId(id, member))
      : [taskId];
    const hasCompletedRun = candidateTaskIds.some((candidateId) =>
      runs.get(candidateId)?.some(({ end }) => end === "done")
    );
    if (!hasCompletedRun) return `no worker finished ${taskId}`;
    if (task.kind !== "finished") return `${taskId} was told as ${task.kind}`;
  }
  return findResubmissionViolation(result, runs, manifest);
}

/** The tasks of an order have equal needs, so that they are one step. */
function formatTaskId(id: string, index: number): string {
  return `${id}.0.0.${index}`;
}

/** The tasks that did not run must have run under the order that followed. */
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
    return "not every task that did not run was ordered again";
  }
  return findOutcomeViolation(resubmission, runs, manifest);
}

/** Finds tasks that started again without leave, or ran in two places. */
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
      twice.push(`${taskId} ran in two places`);
    }
  }
  return twice;
}

/** Finds runs under ids of which the caller was told that nothing ran. */
function findRunsOfDeniedTasks(
  runs: Map<string, RunRecord[]>,
  results: WorkItemResult[],
): string[] {
  return results.flatMap(listDeniedTasks)
    .filter((taskId) => runs.has(taskId))
    .map((taskId) => `${taskId} ran, but was said not to have run`);
}

/** Lists every task of which the caller was told that it did not run. */
function listDeniedTasks(result: WorkItemResult): string[] {
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
    ...(resubmission === undefined ? [] : listDeniedTasks(resubmission)),
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

/** Whether the runs of a worker ever needed more than it has. */
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

/** The starts and ends of runs in order; at one time, ends come first. */
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
