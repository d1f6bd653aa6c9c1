/**
 * Crashes of workers in the simulation: at random, and by tasks that crash each
 * worker that starts them.
 *
 * @module
 */
import type { WorkerOrder } from "../domain_command.ts";
import { taskNameOf } from "../step_run.ts";
import type { UnansweredStarts } from "../worker_crash.ts";
import { createWorker } from "../../../stand_ins/platform/worker.ts";
import { drawCapacity } from "./owner_model_capacity.ts";
import { taskDurationMs } from "./owner_model_gangs.ts";
import { drawKind } from "./owner_model_kinds.ts";
import { writeFirstEntry } from "./owner_model_listing.ts";
import type { Model, SimulatedWorker } from "./owner_model_state.ts";

/** One in this many jobs has a task that crashes its workers. */
const DEADLY_ODDS = 8;
/** The most starts of such a task: three, and two more. */
const MAX_DEADLY_STARTS = 5;
/** Number of crashes under a task from which its job may be given up. */
const MIN_CRASHES = 2;

/** Draws whether the first task of a new job crashes its workers. */
export function drawDeadlyTask(model: Model, job: string): void {
  if (model.random.integer(1, DEADLY_ODDS) > 1) return;
  model.deadlyTasks.add(`${job}.0.0.0`);
}

/** Creates an incarnation of a worker. */
export function createSimulatedWorker(
  model: Model,
  id: string,
  bornMs: number,
) {
  return createWorker(
    id,
    (_, task) => taskDurationMs(model, task),
    bornMs,
    (task) => model.deadlyTasks.has(task),
  );
}

/**
 * Records what a link learns of a crash under a task: usually that the start had
 * reached the worker, and always if the worker had answered just before.
 */
export function noticeCrash(
  model: Model,
  { reachedStarts }: SimulatedWorker,
  order: WorkerOrder,
): void {
  const isSuspect = order.kind === "start" && order.isSuspect === true;
  const isConnectionClosed = model.random.integer(0, 3) > 0;
  if (isSuspect || isConnectionClosed) reachedStarts.add(order.task);
}

/** Has a worker crash under the task that it has just started. */
export function crashUnder(
  model: Model,
  simulated: SimulatedWorker,
  task: string,
): void {
  model.deadlyStarts.set(task, (model.deadlyStarts.get(task) ?? 0) + 1);
  restartWorker(model, simulated);
}

/**
 * Restarts a worker, which then runs and knows nothing. It may be of another
 * kind; its entry in the list follows.
 */
export function restartWorker(model: Model, simulated: SimulatedWorker): void {
  const { id, bornMs, running } = simulated.worker;
  const lapsed = model.bench.domain.workers.get(id)?.lapsedStarts ?? [];
  const names = lapsed.filter(({ isDoubtful }) => !isDoubtful)
    .map(({ run, index }) => taskNameOf(run, index));
  simulated.crashedTasks = new Set();
  recordCrash(model, simulated, [...running.keys(), ...names]);
  recordCrash(model, simulated, startedOn(model, id));
  simulated.worker = createSimulatedWorker(model, id, bornMs + 1);
  simulated.kind = drawKind(model);
  simulated.capacity = drawCapacity(model, simulated.capacity);
  writeFirstEntry(model, simulated);
  simulated.acknowledged = 0;
  simulated.endsBeforeExpiry.clear();
}

/** Replaces the link to a worker by one that has sent nothing. */
export function openLink(simulated: SimulatedWorker): void {
  simulated.hasReported = false;
  simulated.unansweredStarts = new Set();
  simulated.reachedStarts = new Set();
}

/** What the link to a worker says of the starts that it may have got. */
export function unansweredStartsOf(
  { hasReported, unansweredStarts, reachedStarts }: SimulatedWorker,
): UnansweredStarts {
  if (!hasReported) return {};
  return {
    unansweredStarts: [...unansweredStarts].map(({ task }) => task),
    reachedStarts: [...reachedStarts],
  };
}

/**
 * Records that a worker answers over its link. At a new incarnation, counts the
 * restart for the tasks that a new owner has only records of since: it can't
 * know that they did not start before it.
 *
 * @returns what the link says of the starts that the earlier incarnation got
 */
export function noticeIncarnation(
  model: Model,
  simulated: SimulatedWorker,
): UnansweredStarts {
  const unanswered = unansweredStartsOf(simulated);
  simulated.hasReported = true;
  if (simulated.crashedTasks === undefined) return {};
  recordCrash(model, simulated, startedOn(model, simulated.worker.id));
  simulated.crashedTasks = undefined;
  simulated.unansweredStarts = new Set();
  simulated.reachedStarts = new Set();
  return unanswered;
}

function recordCrash(
  model: Model,
  { crashedTasks }: SimulatedWorker,
  tasks: string[],
): void {
  for (const task of tasks) {
    if (crashedTasks?.has(task)) continue;
    crashedTasks?.add(task);
    model.crashCounts.set(task, crashCountOf(model, task) + 1);
  }
}

/**
 * The tasks that an owner knows to have started on a worker, or of which it has
 * only the record of their placement.
 */
function startedOn(model: Model, worker: string): string[] {
  const placed = model.bench.domain.workers.get(worker)?.placed ?? new Map();
  return [...placed].filter(([, { run, index, runningSinceMs }]) => {
    const task = run.tasks[index];
    return runningSinceMs !== undefined ||
      task?.kind === "placed" && task.phase.kind === "recorded";
  }).map(([name]) => name);
}

/** Finds tasks that were started although they had crashed enough workers. */
export function* checkDeadlyTasks(model: Model): Generator<string> {
  for (const task of model.deadlyTasks) {
    const starts = model.deadlyStarts.get(task) ?? 0;
    if (starts > MAX_DEADLY_STARTS) yield `${task} was started ${starts} times`;
  }
}

/** Whether two workers have crashed under a task of a job, or under its gang. */
export function mayBeGivenUp(model: Model, job: string): boolean {
  const isGang = model.firstSteps.get(job)?.gang === true;
  const counts = [...model.crashCounts].filter(([task]) =>
    task.startsWith(`${job}.`)
  ).map(([, count]) => count);
  const gangCount = counts.reduce((sum, count) => sum + count, 0);
  return Math.max(0, ...counts, isGang ? gangCount : 0) >= MIN_CRASHES;
}

function crashCountOf(model: Model, task: string): number {
  return model.crashCounts.get(task) ?? 0;
}
