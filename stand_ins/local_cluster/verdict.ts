import { isDeepStrictEqual } from "node:util";
import type { AuditedRun, WorkerAudit } from "../worker/mod.ts";
import type { HeardOrder } from "./submitter.ts";

/** What the workers' own records say of a set of orders. */
export type Verdict = {
  submitted: number;
  /** Orders whose every task finished, and whose caller heard the outputs. */
  ran: number;
  /** Tasks that ran twice, in two places, or after "did not run". */
  twice: number;
  /** Orders that did not run, or whose caller heard no or a wrong answer. */
  lost: number;
  /** How often a worker held more than its capacity. */
  overCapacity: number;
  /** A line for each order and task that is counted as wrong. */
  faults: string[];
};

/** Judges orders by the workers' records. */
export function judge(audits: WorkerAudit[], heard: HeardOrder[]): Verdict {
  const runs = runsByTask(audits);
  const outputs = outputsByTask(audits);
  const faults: string[] = [];
  const lost = heard.filter((order) => {
    const fault = faultOfAnswer(order, outputs);
    if (fault !== undefined) faults.push(`lost ${order.order.key}: ${fault}`);
    return fault !== undefined;
  });
  const twice = [...twiceRun(runs), ...ranAfterDenial(runs, heard)];
  for (const fault of twice) faults.push(`twice ${fault}`);
  return {
    submitted: heard.length,
    ran: heard.length - lost.length,
    twice: twice.length,
    lost: lost.length,
    overCapacity: audits.reduce((sum, audit) => sum + audit.overCapacity, 0),
    faults,
  };
}

/** Writes a verdict as the one line that the quickstart closes with. */
export function formatVerdict(verdict: Verdict): string {
  const { submitted, ran, twice, lost, overCapacity } = verdict;
  return `submitted=${submitted} ran=${ran} twice=${twice} lost=${lost} ` +
    `over_capacity=${overCapacity}`;
}

function faultOfAnswer(
  heard: HeardOrder,
  outputs: Map<string, unknown>,
): string | undefined {
  const { outcome, ids, order } = heard;
  if (outcome?.kind !== "ran") {
    return `its caller heard no final answer, but ${heard.latest}`;
  }
  const id = ids[ids.length - 1];
  const count = order.submission.tasks.length;
  if (outcome.tasks.length !== count) return "the answer is not whole";
  for (const [index, task] of outcome.tasks.entries()) {
    const taskId = `${id}/${index}`;
    if (task.kind === "didNotRun" && heard.rest !== undefined) continue;
    if (!outputs.has(taskId)) return `no worker finished ${taskId}`;
    if (task.kind !== "finished") return `${taskId} was told as ${task.kind}`;
    const isRight = isDeepStrictEqual(task.output, outputs.get(taskId));
    if (!isRight) return `${taskId} has the answer of another task`;
  }
  return faultOfRest(heard, outputs);
}

/** The tasks that did not run must have run under the order that followed. */
function faultOfRest(
  heard: HeardOrder,
  outputs: Map<string, unknown>,
): string | undefined {
  const { outcome, rest } = heard;
  if (rest === undefined) return undefined;
  const unrun = outcome?.kind === "ran"
    ? outcome.tasks.filter((task) => task.kind === "didNotRun")
    : [];
  if (rest.order.submission.tasks.length !== unrun.length) {
    return "not every task that did not run was ordered again";
  }
  return faultOfAnswer(rest, outputs);
}

/** Finds tasks that started again without leave, or ran in two places. */
function twiceRun(runs: Map<string, AuditedRun[]>): string[] {
  const twice: string[] = [];
  for (const [taskId, ofTask] of runs) {
    const starts = ofTask.filter((run) => !run.resumed);
    const mayRepeat = ofTask.every((run) => run.idempotent);
    if (starts.length > 1 && !mayRepeat) {
      twice.push(`${taskId} started ${starts.length} times`);
    } else if (hasOverlap(ofTask)) {
      twice.push(`${taskId} ran in two places`);
    }
  }
  return twice;
}

/** Finds runs under ids of which the caller was told that nothing ran. */
function ranAfterDenial(
  runs: Map<string, AuditedRun[]>,
  heard: HeardOrder[],
): string[] {
  return heard.flatMap(deniedTasks)
    .filter((taskId) => runs.has(taskId))
    .map((taskId) => `${taskId} ran, but was said not to have run`);
}

/** Lists every task of which the caller was told that it did not run. */
function deniedTasks(heard: HeardOrder): string[] {
  const { ids, order, outcome, rest } = heard;
  const whole = ids.slice(0, -1).flatMap((id) =>
    order.submission.tasks.map((_task, index) => `${id}/${index}`)
  );
  const parts = outcome?.kind === "ran"
    ? outcome.tasks.filter((task) => task.kind === "didNotRun")
      .map((task) => `${ids.at(-1)}/${task.index}`)
    : [];
  return [...whole, ...parts, ...(rest === undefined ? [] : deniedTasks(rest))];
}

function hasOverlap(runs: AuditedRun[]): boolean {
  const sorted = [...runs].sort((a, b) => a.startedAtMs - b.startedAtMs);
  return sorted.some((run, index) => {
    const next = sorted[index + 1];
    const endedAtMs = run.endedAtMs ?? Infinity;
    return next !== undefined && next.startedAtMs < endedAtMs;
  });
}

function runsByTask(audits: WorkerAudit[]): Map<string, AuditedRun[]> {
  const runs = new Map<string, AuditedRun[]>();
  for (const run of audits.flatMap((audit) => audit.runs)) {
    runs.set(run.taskId, [...runs.get(run.taskId) ?? [], run]);
  }
  return runs;
}

function outputsByTask(audits: WorkerAudit[]): Map<string, unknown> {
  const finished = audits.flatMap((audit) => audit.outputs);
  return new Map(finished.map(({ taskId, output }) => [taskId, output]));
}
