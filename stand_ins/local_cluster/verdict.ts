import {
  addResources,
  fitsInto,
  type Manifest,
  NO_RESOURCES,
  subtractResources,
  type WorkKind,
} from "../../src/model/mod.ts";
import type { WorkerPlan } from "../platform/platform.ts";
import type { RunRecord } from "../platform/worker.ts";
import type { HeardOrder } from "./submitter.ts";
import { readSpecification } from "./task_payload.ts";

/** What a worker remembers, and what it has room for. */
export type RecordedWorker = {
  id: string;
  capacity: WorkerPlan["capacity"];
  started: RunRecord[];
};

/** What the workers' own records say of a set of orders. */
export type Verdict = {
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
  faults: string[];
};

/** Judges orders by the workers' records. */
export function judge(
  workers: RecordedWorker[],
  manifest: Manifest,
  heard: HeardOrder[],
): Verdict {
  const runs = runsByTask(workers);
  const faults: string[] = [];
  const lost = heard.filter((order) => {
    const fault = faultOfAnswer(order, runs, manifest);
    if (fault !== undefined) faults.push(`lost ${order.order.key}: ${fault}`);
    return fault !== undefined;
  });
  const twice = [...twiceRun(runs, manifest), ...ranAfterDenial(runs, heard)];
  for (const fault of twice) faults.push(`twice ${fault}`);
  const overCapacity = workers.filter((worker) =>
    isOverCapacity(worker, manifest)
  );
  for (const { id } of overCapacity) faults.push(`over capacity: ${id}`);
  return {
    submitted: heard.length,
    ran: heard.length - lost.length,
    twice: twice.length,
    lost: lost.length,
    overCapacity: overCapacity.length,
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
  runs: Map<string, RunRecord[]>,
  manifest: Manifest,
): string | undefined {
  const { outcome, ids, order } = heard;
  if (outcome?.kind !== "ran") {
    return `its caller heard no final answer, but ${heard.latest}`;
  }
  const id = ids[ids.length - 1] ?? "";
  const count = order.submission.tasks.length;
  if (outcome.tasks.length !== count) return "the answer is not whole";
  const isGang = findWork(manifest, order.submission)?.policy.kind === "gang";
  for (const [index, task] of outcome.tasks.entries()) {
    const name = taskName(id, index);
    if (task.kind === "didNotRun" && heard.rest !== undefined) continue;
    // The members of a gang end together: one end stands for all of them.
    const ended = isGang
      ? outcome.tasks.map((_, member) => taskName(id, member))
      : [name];
    const isDone = ended.some((task) =>
      runs.get(task)?.some(({ end }) => end === "done")
    );
    if (!isDone) return `no worker finished ${name}`;
    if (task.kind !== "finished") return `${name} was told as ${task.kind}`;
  }
  return faultOfRest(heard, runs, manifest);
}

/** The tasks of an order have equal needs, so that they are one step. */
function taskName(id: string, index: number): string {
  return `${id}.0.0.${index}`;
}

/** The tasks that did not run must have run under the order that followed. */
function faultOfRest(
  heard: HeardOrder,
  runs: Map<string, RunRecord[]>,
  manifest: Manifest,
): string | undefined {
  const { outcome, rest } = heard;
  if (rest === undefined) return undefined;
  const unrun = outcome?.kind === "ran"
    ? outcome.tasks.filter((task) => task.kind === "didNotRun")
    : [];
  if (rest.order.submission.tasks.length !== unrun.length) {
    return "not every task that did not run was ordered again";
  }
  return faultOfAnswer(rest, runs, manifest);
}

/** Finds tasks that started again without leave, or ran in two places. */
function twiceRun(
  runs: Map<string, RunRecord[]>,
  manifest: Manifest,
): string[] {
  const twice: string[] = [];
  for (const [name, ofTask] of runs) {
    if (ofTask.length < 2) continue;
    const mayRepeat = ofTask.every((run) => workOf(run, manifest).idempotent);
    if (!mayRepeat) {
      twice.push(`${name} started ${ofTask.length} times`);
    } else if (hasOverlap(ofTask)) {
      twice.push(`${name} ran in two places`);
    }
  }
  return twice;
}

/** Finds runs under ids of which the caller was told that nothing ran. */
function ranAfterDenial(
  runs: Map<string, RunRecord[]>,
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
    order.submission.tasks.map((_task, index) => taskName(id, index))
  );
  const parts = outcome?.kind === "ran"
    ? outcome.tasks.filter((task) => task.kind === "didNotRun")
      .map((task) => taskName(ids.at(-1) ?? "", task.index))
    : [];
  return [...whole, ...parts, ...(rest === undefined ? [] : deniedTasks(rest))];
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
function isOverCapacity(worker: RecordedWorker, manifest: Manifest): boolean {
  let held = NO_RESOURCES;
  for (const { isStart, demand } of changesOf(worker, manifest)) {
    held = isStart
      ? addResources(held, demand)
      : subtractResources(held, demand);
    if (!fitsInto(held, worker.capacity)) return true;
  }
  return false;
}

/** The starts and ends of runs in order; at one time, ends come first. */
function changesOf({ started }: RecordedWorker, manifest: Manifest) {
  return started
    .filter(({ startedAtMs, endedAtMs = Infinity }) => endedAtMs > startedAtMs)
    .flatMap((run) => {
      const { demand } = workOf(run, manifest);
      const { startedAtMs, endedAtMs = Infinity } = run;
      return [
        { atMs: startedAtMs, isStart: true, demand },
        { atMs: endedAtMs, isStart: false, demand },
      ];
    })
    .sort((a, b) => a.atMs - b.atMs || Number(a.isStart) - Number(b.isStart));
}

function workOf(run: RunRecord, manifest: Manifest): WorkKind {
  const specification = readSpecification(run.specification);
  const found = findWork(manifest, specification);
  if (found === undefined) {
    const { agreement, work } = specification;
    throw new Error(`No work ${agreement}/${work}`);
  }
  return found;
}

function findWork(
  manifest: Manifest,
  { agreement, work }: { agreement: string; work: string },
): WorkKind | undefined {
  return manifest.agreements
    .find(({ name }) => name === agreement)?.work
    .find(({ name }) => name === work);
}

function runsByTask(workers: RecordedWorker[]): Map<string, RunRecord[]> {
  const runs = new Map<string, RunRecord[]>();
  for (const run of workers.flatMap(({ started }) => started)) {
    runs.set(run.task, [...runs.get(run.task) ?? [], run]);
  }
  return runs;
}
