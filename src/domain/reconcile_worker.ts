/**
 * What a worker lists, compared with what the domain believes.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedTaskRef } from "./domain_worker.ts";
import type { Moment } from "./domain_event.ts";
import type { EndedRun, ListedRun, WorkerReport } from "./worker_report.ts";
import {
  completeTask,
  countsAgainstWorker,
  endAttempt,
} from "./end_attempt.ts";
import { release } from "./placed.ts";
import { parseTaskName, type StepRun } from "./step_run.ts";
import { orderStop, stopTask } from "./stop_task.ts";
import type { PlacedTask } from "./task_progress.ts";
import { noteDuration } from "./durations.ts";
import { noteFailure, noteSuccess } from "./worker_health.ts";

/** Takes in what a worker lists. */
export function applyWorkerReport(
  domain: Domain,
  worker: DomainWorker,
  look: WorkerReport,
  moment: Moment,
): void {
  if (worker.bornMs !== look.bornMs) applyWorkerRestart(domain, worker, look);
  const isFirst = !worker.isReachable;
  worker.isReachable = true;
  for (const ended of look.ended) applyRunEnd(domain, worker, ended, moment);
  const running = new Set<string>();
  for (const run of look.running) {
    running.add(run.task);
    applyListedRun(domain, worker, run, moment);
  }
  for (const [name, ref] of worker.placed) {
    if (running.has(name)) continue;
    reconcileUnlistedTask(domain, worker, name, ref, { look, isFirst, moment });
  }
}

/**
 * A worker that started anew runs nothing of what it ran before. What it may
 * have been given since is told by this look and the next.
 */
function applyWorkerRestart(
  domain: Domain,
  worker: DomainWorker,
  look: WorkerReport,
): void {
  const isKnown = worker.bornMs !== 0;
  worker.bornMs = look.bornMs;
  worker.lastEnd = 0;
  if (isKnown) discardTickets(domain, worker.id);
}

/** Takes every task off a worker that surely runs none of them. */
export function markTasksLost(
  domain: Domain,
  worker: DomainWorker,
  moment: Moment,
): void {
  for (const [name, ref] of worker.placed) {
    const task = ref.run.tasks[ref.index];
    if (task?.kind === "placed" && task.worker === worker.id) {
      endAttempt(domain, ref.run, ref.index, "lost", moment);
    }
    release(worker, name);
  }
}

function discardTickets(domain: Domain, worker: string): void {
  for (const run of domain.steps.values()) run.advice.allowed.delete(worker);
}

function applyRunEnd(
  domain: Domain,
  worker: DomainWorker,
  ended: EndedRun,
  moment: Moment,
): void {
  if (ended.number <= worker.lastEnd) return;
  worker.lastEnd = ended.number;
  const found = findTask(domain, ended.task);
  if (found === undefined) return;
  const { run, index } = found;
  const task = run.tasks[index];
  const isCurrent = task?.kind === "placed" && task.worker === worker.id &&
    task.attempt === ended.attempt;
  if (!isCurrent) {
    applyStaleRunEnd(domain, worker, ended, { run, index, moment });
    return;
  }
  if (ended.checkpoint !== "") task.checkpoint = ended.checkpoint;
  if (run.step.gang) shareGangCheckpoint(run, task);
  domain.commands.push({
    kind: "report",
    message: "A run ended.",
    fields: {
      job: run.job.job.id,
      task: ended.task,
      attempt: ended.attempt,
      worker: worker.id,
      end: ended.end,
      ranMs: Math.round(moment.steadyMs - task.placedAtMs),
    },
  });
  if (countsAgainstWorker(ended.end)) noteFailure(worker, moment.steadyMs);
  else if (ended.end === "done") {
    noteSuccess(worker);
    noteDuration(domain, worker, run, moment.steadyMs - task.placedAtMs);
  }
  endAttempt(domain, run, index, ended.end, moment);
}

/**
 * The end of an attempt that was given up. If it was done after all, the task
 * is done, and a later attempt must not run.
 */
function applyStaleRunEnd(
  domain: Domain,
  worker: DomainWorker,
  ended: EndedRun,
  { run, index, moment }: { run: StepRun; index: number; moment: Moment },
): void {
  const task = run.tasks[index]!;
  const isOnWorker = task.kind === "placed" && task.worker === worker.id;
  if (!isOnWorker) release(worker, ended.task);
  const isOpen = task.kind !== "done" && run.job.job.outcome === "open";
  if (ended.end !== "done" || !isOpen || run.step.longRunning) return;
  domain.commands.push({
    kind: "report",
    message: "An attempt that was given up is done.",
    fields: {
      job: run.job.job.id,
      task: ended.task,
      attempt: ended.attempt,
      worker: worker.id,
    },
  });
  stopTask(domain, run, index);
  completeTask(domain, run, index, moment);
}

/** A checkpoint of any member is good for the whole gang. */
function shareGangCheckpoint(run: StepRun, from: PlacedTask): void {
  if (from.checkpoint === undefined) return;
  for (const task of run.tasks) {
    if (task.kind !== "done") task.checkpoint = from.checkpoint;
  }
}

function applyListedRun(
  domain: Domain,
  worker: DomainWorker,
  listed: ListedRun,
  moment: Moment,
): void {
  const ref = worker.placed.get(listed.task);
  const task = ref?.run.tasks[ref.index];
  if (
    ref === undefined || task?.kind !== "placed" ||
    task.worker !== worker.id || task.attempt !== listed.attempt
  ) {
    stopUnrecordedRun(domain, worker, listed, ref);
    return;
  }
  ref.reading = listed.reading;
  if (listed.checkpoint !== "") task.checkpoint = listed.checkpoint;
  const { phase } = task;
  if (phase.kind === "stopping") return;
  if (ref.run.job.job.outcome !== "open") {
    return stopTask(domain, ref.run, ref.index);
  }
  const { percent } = listed;
  const isProgress = phase.kind !== "running" || phase.percent !== percent;
  const progressAtMs = isProgress ? moment.steadyMs : phase.progressAtMs;
  task.phase = { kind: "running", percent, progressAtMs };
}

/** Something runs that the records do not know: it must not go on. */
function stopUnrecordedRun(
  domain: Domain,
  worker: DomainWorker,
  listed: ListedRun,
  ref: PlacedTaskRef | undefined,
): void {
  const task = ref?.run.tasks[ref.index];
  // A member of a gang that is done ends by itself.
  if (task?.kind === "done" && task.attempt === listed.attempt) return;
  orderStop(domain, worker.id, listed.task, listed.attempt);
}

type UnlistedContext = { look: WorkerReport; isFirst: boolean; moment: Moment };

/** A placed task that the worker lists neither as running nor as ended. */
function reconcileUnlistedTask(
  domain: Domain,
  worker: DomainWorker,
  name: string,
  ref: PlacedTaskRef,
  { look, isFirst, moment }: UnlistedContext,
): void {
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed" || task.worker !== worker.id) {
    release(worker, name);
    return;
  }
  const { phase } = task;
  // Under the new epoch, no order of an earlier owner can start it any more.
  const neverStarted = isFirst && phase.kind === "recorded";
  // It ran in an earlier incarnation: an end in this one would be listed.
  const lostInRestart = phase.kind === "running" &&
    phase.progressAtMs < look.sentAtMs;
  // A confirmed stop bars the attempt.
  const hasConfirmedStop = phase.kind === "stopping" &&
    phase.confirmedAtMs !== undefined && phase.confirmedAtMs < look.sentAtMs;
  if (neverStarted || lostInRestart || hasConfirmedStop) {
    const attemptEnd = neverStarted ? "unstarted" : "lost";
    endAttempt(domain, ref.run, ref.index, attemptEnd, moment);
  }
}

/** Finds a task by the name that workers know it by. */
export function findTask(
  domain: Domain,
  name: string,
): { run: StepRun; index: number } | undefined {
  const parsed = parseTaskName(name);
  if (parsed === undefined) return undefined;
  const run = domain.steps.get(parsed.stepKey);
  if (run === undefined || run.tasks[parsed.index] === undefined) {
    return undefined;
  }
  return { run, index: parsed.index };
}

/** Re-orders the stop of every task whose stop was never confirmed. */
export function resendUnconfirmedStops(
  domain: Domain,
  worker: DomainWorker,
): void {
  for (const [name, ref] of worker.placed) {
    const task = ref.run.tasks[ref.index];
    if (task?.kind !== "placed" || task.phase.kind !== "stopping") continue;
    if (task.phase.confirmedAtMs !== undefined) continue;
    orderStop(domain, worker.id, name, task.attempt);
  }
}

/**
 * Stops what was ordered over a link that is gone and is not seen to run: the
 * order may be lost, or carried out late. The stop bars the attempt.
 */
export function stopUnconfirmedStarts(
  domain: Domain,
  worker: DomainWorker,
): void {
  const { linkReopenedAtMs: reopenedAtMs } = worker;
  if (reopenedAtMs === undefined) return;
  worker.linkReopenedAtMs = undefined;
  for (const ref of worker.placed.values()) {
    const task = ref.run.tasks[ref.index];
    if (task?.kind !== "placed" || task.phase.kind !== "starting") continue;
    if (task.placedAtMs <= reopenedAtMs) stopTask(domain, ref.run, ref.index);
  }
}
