/**
 * Simple schedulers to compare the placement core with.
 *
 * @module
 */
import { assertNever } from "../src/base/mod.ts";
import type { Randomness } from "../src/hosts/mod.ts";
import {
  addResources,
  fitsInto,
  type Resources,
  subtractResources,
  type Task,
} from "../src/model/mod.ts";
import type { PlacementCommand, PlacementEvent } from "../src/placement/mod.ts";
import type { Scheduler } from "./scheduler.ts";

/** How a baseline chooses. */
export type BaselineKind =
  /** Any worker with room, at random. */
  | "random fit"
  /** The first worker with room. */
  | "first fit"
  /** The worker with the most processor time free. */
  | "least loaded"
  /** First fit, and nobody overtakes the first in the queue. */
  | "first come"
  /** First fit, the most urgent first; the ideal bound runs it. */
  | "by urgency";

type BaselineWorker = {
  id: string;
  free: Resources;
  freeSlots: number;
  placed: Map<string, Task>;
};

/** The waiting requests of one kind of work; a gang's tasks are together. */
type Line = {
  urgency: number;
  /** Position of the first request that still waits. */
  next: number;
  waiting: { order: number; tasks: Task[] }[];
};

type Baseline = {
  kind: BaselineKind;
  randomness: Randomness;
  workers: BaselineWorker[];
  byId: Map<string, BaselineWorker>;
  /** Waiting requests by kind of work. */
  lines: Map<string, Line>;
  nextOrder: number;
};

/** Creates a baseline. */
export function createBaseline(
  kind: BaselineKind,
  randomness: Randomness,
): Scheduler {
  const baseline: Baseline = {
    kind,
    randomness,
    workers: [],
    byId: new Map(),
    lines: new Map(),
    nextOrder: 0,
  };
  return (event) => step(baseline, event);
}

function step(baseline: Baseline, event: PlacementEvent): PlacementCommand[] {
  const commands: PlacementCommand[] = [];
  switch (event.kind) {
    case "workerJoined": {
      const worker: BaselineWorker = {
        id: event.worker.id,
        free: event.capacity.resources,
        freeSlots: event.capacity.slots,
        placed: new Map(),
      };
      baseline.workers.push(worker);
      baseline.byId.set(worker.id, worker);
      break;
    }
    case "submitted":
      enqueue(baseline, event.tasks);
      serve(baseline, commands);
      break;
    case "taskChanged":
      release(baseline, event.worker, event.record.task.id);
      serve(baseline, commands);
      break;
    case "withdrawn":
      withdraw(baseline, event.taskIds, commands);
      break;
    default:
      break;
  }
  return commands;
}

function enqueue(baseline: Baseline, tasks: Task[]): void {
  const isGang = tasks[0]?.policy.kind === "gang";
  const requests = isGang ? [tasks] : tasks.map((task) => [task]);
  for (const request of requests) {
    const { work, urgency } = request[0]!;
    const line = baseline.lines.get(work) ?? { urgency, next: 0, waiting: [] };
    baseline.lines.set(work, line);
    line.waiting.push({ order: baseline.nextOrder++, tasks: request });
  }
}

/** Starts what has room; a kind that found none is not tried again at once. */
function serve(baseline: Baseline, commands: PlacementCommand[]): void {
  const failed = new Set<Line>();
  for (;;) {
    const line = nextLine(baseline, failed);
    if (line === undefined) return;
    if (startTogether(baseline, line.waiting[line.next]!.tasks, commands)) {
      line.next += 1;
      continue;
    }
    if (baseline.kind === "first come") return;
    failed.add(line);
  }
}

/** The line whose first request comes next. */
function nextLine(baseline: Baseline, failed: Set<Line>): Line | undefined {
  let best: Line | undefined;
  for (const line of baseline.lines.values()) {
    if (line.next >= line.waiting.length || failed.has(line)) continue;
    if (best === undefined || isBefore(baseline.kind, line, best)) best = line;
  }
  return best;
}

function isBefore(kind: BaselineKind, line: Line, other: Line): boolean {
  if (kind === "by urgency" && line.urgency !== other.urgency) {
    return line.urgency > other.urgency;
  }
  const { order } = line.waiting[line.next]!;
  return order < other.waiting[other.next]!.order;
}

function startTogether(
  baseline: Baseline,
  tasks: Task[],
  commands: PlacementCommand[],
): boolean {
  const chosen: BaselineWorker[] = [];
  for (const task of tasks) {
    const worker = choose(baseline, task.demand);
    if (worker === undefined) break;
    take(worker, task);
    chosen.push(worker);
  }
  if (chosen.length < tasks.length) {
    chosen.forEach((worker, i) => give(worker, tasks[i]!));
    return false;
  }
  chosen.forEach((worker, i) =>
    commands.push({
      kind: "start",
      worker: worker.id,
      token: 1,
      task: tasks[i]!,
    })
  );
  return true;
}

function choose(
  { kind, randomness, workers }: Baseline,
  demand: Resources,
): BaselineWorker | undefined {
  const fits = ({ free, freeSlots }: BaselineWorker) =>
    freeSlots >= 1 && fitsInto(demand, free);
  switch (kind) {
    case "first fit":
    case "first come":
    case "by urgency":
      return workers.find(fits);
    case "random fit": {
      const fitting = workers.filter(fits);
      if (fitting.length === 0) return undefined;
      return fitting[randomness.integer(0, fitting.length - 1)];
    }
    case "least loaded":
      return workers.filter(fits).reduce<BaselineWorker | undefined>(
        (best, worker) =>
          best !== undefined && best.free.cpuMillis >= worker.free.cpuMillis
            ? best
            : worker,
        undefined,
      );
    default:
      return assertNever(kind);
  }
}

function release(baseline: Baseline, workerId: string, taskId: string): void {
  const worker = baseline.byId.get(workerId);
  const task = worker?.placed.get(taskId);
  if (worker !== undefined && task !== undefined) give(worker, task);
}

function withdraw(
  baseline: Baseline,
  taskIds: string[],
  commands: PlacementCommand[],
): void {
  const gone = new Set(taskIds);
  for (const line of baseline.lines.values()) {
    line.waiting = line.waiting.slice(line.next)
      .map(({ order, tasks }) => ({
        order,
        tasks: tasks.filter(({ id }) => !gone.has(id)),
      }))
      .filter(({ tasks }) => tasks.length > 0);
    line.next = 0;
  }
  for (const { id: worker, placed } of baseline.workers) {
    for (const taskId of placed.keys()) {
      if (!gone.has(taskId)) continue;
      const yielding = "stop" as const;
      commands.push({ kind: "yield", worker, token: 1, taskId, yielding });
    }
  }
}

function take(worker: BaselineWorker, task: Task): void {
  worker.free = subtractResources(worker.free, task.demand);
  worker.freeSlots -= 1;
  worker.placed.set(task.id, task);
}

function give(worker: BaselineWorker, task: Task): void {
  worker.free = addResources(worker.free, task.demand);
  worker.freeSlots += 1;
  worker.placed.delete(task.id);
}
