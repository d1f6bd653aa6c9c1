/**
 * Reconciles the runs that a worker reports with the tasks that the domain has
 * placed on it.
 *
 * @module
 */
import { adoptRun } from "./adopt_run.ts";
import { discardAdvice } from "./advice_requests.ts";
import type { Domain } from "./domain.ts";
import type { DomainWorker, PlacedTaskRef } from "./domain_worker.ts";
import type { DomainEvent, Moment } from "./domain_event.ts";
import type { EndedRun, ListedRun, WorkerReport } from "./worker_report.ts";
import {
  completeTask,
  countsAgainstWorker,
  endAttempt,
} from "./end_attempt.ts";
import { allocateTask, releaseTask } from "./task_placement.ts";
import { keepCheckpoint, shareGangCheckpoint } from "./step_limits.ts";
import { findTask, type StepRun, taskNameOf } from "./step_run.ts";
import { settleWorker } from "./start_permit.ts";
import { orderStop, stopTask } from "./stop_task.ts";
import { stopUnsuitableStarts } from "./unsuitable_starts.ts";
import type { PlacedTask } from "./task_state.ts";
import { recordTaskDuration } from "./task_durations.ts";
import {
  findUnsettledTasks,
  recordWorkerCrash,
  updateSettled,
} from "./worker_crash.ts";
import { recordFailure, recordSuccess } from "./worker_health.ts";
import {
  listingOfIncarnation,
  UNKNOWN_BORN_MS,
  wasDraining,
} from "./worker_incarnation.ts";

type WorkerLapse = Extract<DomainEvent, { kind: "workerLapsed" }>;

/**
 * Applies a worker's report: its ended runs, its running tasks, and, if it has no
 * more ends, the placed tasks that it does not list.
 */
export function applyWorkerReport(
  domain: Domain,
  worker: DomainWorker,
  report: WorkerReport,
  moment: Moment,
): void {
  if (worker.bornMs !== report.bornMs) {
    applyWorkerCrash(domain, worker, report, moment);
    applyWorkerRestart(domain, worker, report);
  }
  worker.lapsedStarts = [];
  worker.isReachable = true;
  for (const ended of report.ended) applyRunEnd(domain, worker, ended, moment);
  const running = new Set<string>();
  for (const run of report.running) {
    running.add(run.task);
    applyListedRun(domain, worker, run, { report, moment });
  }
  // The ends of runs that are not listed may follow the listed ones.
  if (report.hasMoreEnds === true) return;
  for (const [name, ref] of worker.placed) {
    if (running.has(name)) continue;
    reconcileUnlistedTask(domain, worker, name, ref, { report, moment });
  }
  settleWorker(domain, worker.id, report.bornMs);
}

/**
 * Resets the state of a worker that has restarted. It runs nothing of what it
 * ran before; this report and the next show what it has started since.
 */
function applyWorkerRestart(
  domain: Domain,
  worker: DomainWorker,
  report: WorkerReport,
): void {
  const hasReportedBefore = worker.bornMs !== UNKNOWN_BORN_MS;
  worker.formerBornMs = worker.bornMs;
  worker.bornMs = report.bornMs;
  worker.lastEnd = 0;
  for (const ref of worker.placed.values()) ref.abandonedStart = undefined;
  if (hasReportedBefore) discardAdvice(domain, worker.id);
}

/**
 * Records the crash of a worker that reports a new incarnation. What the report
 * lists was started after the crash.
 */
function applyWorkerCrash(
  domain: Domain,
  worker: DomainWorker,
  report: WorkerReport,
  moment: Moment,
): void {
  const { bornMs, running, ended } = report;
  const listed = new Set([...running, ...ended].map(({ task }) => task));
  const unsettled = findUnsettledTasks(worker, report)
    .filter(({ run, index }) => !listed.has(taskNameOf(run, index)))
    .map((task) =>
      // A task whose end is not listed yet was started after the crash.
      report.hasMoreEnds === true ? { ...task, isDoubtful: true } : task
    );
  const suspects = [...worker.lapsedStarts, ...unsettled].filter((suspect) =>
    suspect.bornMs !== UNKNOWN_BORN_MS && suspect.bornMs !== bornMs
  );
  // A start without an answer would be repeated at the new incarnation.
  for (const { run, index } of suspects) {
    const task = run.tasks[index];
    if (task?.kind !== "placed" || task.worker !== worker.id) continue;
    if (task.phase.kind === "starting") stopTask(domain, run, index);
    // A later owner has to know in which incarnation it may have run.
    if (run.step.atMostOnce === true) continue;
    // The crash is not counted again if the task is still placed at a takeover.
    task.bornMs = bornMs;
  }
  if (suspects.length > 0 || worker.bornMs !== UNKNOWN_BORN_MS) {
    recordWorkerCrash(domain, worker.id, suspects, {
      moment,
      isInferred: worker.bornMs === UNKNOWN_BORN_MS,
    });
  }
  for (const ref of worker.placed.values()) {
    ref.runningSinceMs = undefined;
    ref.isSettled = false;
    const task = ref.run.tasks[ref.index];
    // Its start has not left; it would go to the new incarnation.
    if (task?.kind === "placed" && task.phase.kind === "starting") {
      task.bornMs = bornMs;
    }
  }
  stopUnsuitableStarts(domain, worker, listingOfIncarnation(worker, bornMs));
}

/** Applies that all leases of a worker have expired, or that it was replaced. */
export function applyWorkerLapse(
  domain: Domain,
  worker: DomainWorker,
  lapse: WorkerLapse,
  moment: Moment,
): void {
  const { isReplaced } = lapse;
  const held = findHeldTasks(worker, lapse);
  worker.lapsedStarts.push(
    ...findUnsettledTasks(worker, lapse).filter(({ run, index }) =>
      !held.has(taskNameOf(run, index))
    ),
  );
  markTasksLost(domain, worker, held, moment);
  if (isReplaced !== true) return;
  // The address of a worker that was drained passes to another one.
  if (!wasDraining(worker)) {
    recordWorkerCrash(domain, worker.id, worker.lapsedStarts, {
      moment,
      isInferred: worker.bornMs === UNKNOWN_BORN_MS,
    });
  }
  worker.lapsedStarts = [];
}

/**
 * The tasks that a worker may still run after its leases have expired. A task
 * that was reported ran in an incarnation whose leases are known.
 */
function findHeldTasks(
  worker: DomainWorker,
  { heldStarts = [] }: WorkerLapse,
): Set<string> {
  return new Set(
    heldStarts.filter((name) =>
      worker.placed.get(name)?.runningSinceMs === undefined
    ),
  );
}

/**
 * Ends the attempts placed on a worker that certainly runs none of them.
 *
 * @param held the names of tasks that it may still run
 */
function markTasksLost(
  domain: Domain,
  worker: DomainWorker,
  held: Set<string>,
  moment: Moment,
): void {
  for (const [name, ref] of worker.placed) {
    if (held.has(name)) continue;
    const task = ref.run.tasks[ref.index];
    if (task?.kind === "placed" && task.worker === worker.id) {
      endAttempt(domain, ref.run, ref.index, "lost", moment);
    }
    releaseTask(worker, name);
  }
  settleWorker(domain, worker.id, undefined);
}

/** Applies the end of a run; one that was applied before is ignored. */
function applyRunEnd(
  domain: Domain,
  worker: DomainWorker,
  ended: EndedRun,
  moment: Moment,
): void {
  if (ended.number <= worker.lastEnd) return;
  worker.lastEnd = ended.number;
  adoptRun(domain, worker, ended, moment);
  const found = findTask(domain, ended.task);
  if (found === undefined) return;
  const { run, index } = found;
  run.jobRun.hasBegun = true;
  const task = run.tasks[index];
  const isCurrent = task?.kind === "placed" && task.worker === worker.id &&
    task.attempt === ended.attempt;
  if (!isCurrent) {
    applyStaleRunEnd(domain, worker, ended, { run, index, moment });
    return;
  }
  if (run.step.gang) {
    shareGangCheckpoint(run, ended.checkpoint || (task.checkpoint ?? ""));
  } else applyCheckpoint(domain, run, task, ended.checkpoint);
  domain.commands.push({
    kind: "report",
    message: "A run ended.",
    fields: {
      job: run.jobRun.job.id,
      task: ended.task,
      attempt: ended.attempt,
      worker: worker.id,
      end: ended.end,
      ranMs: Math.round(moment.steadyMs - task.placedAtMs),
    },
  });
  if (countsAgainstWorker(ended.end)) {
    run.failedOn.add(worker.id);
    if (!failsAnywhere(run)) recordFailure(worker, moment.steadyMs);
  } else if (ended.end === "done") {
    recordSuccess(worker);
    recordTaskDuration(domain, worker, run, moment.steadyMs - task.placedAtMs);
  }
  endAttempt(domain, run, index, ended.end, moment);
}

/**
 * Whether a step fails regardless of the worker: on several of them, and none
 * has completed a task of it. Long-running tasks are never completed.
 */
function failsAnywhere({ step, failedOn, doneCount }: StepRun): boolean {
  return !step.longRunning && failedOn.size > 1 && doneCount === 0;
}

/**
 * Applies the end of an attempt that is no longer current. If it was done, the
 * task is done, and a later attempt is stopped.
 */
function applyStaleRunEnd(
  domain: Domain,
  worker: DomainWorker,
  ended: EndedRun,
  { run, index, moment }: { run: StepRun; index: number; moment: Moment },
): void {
  const task = run.tasks[index]!;
  const isOnWorker = task.kind === "placed" && task.worker === worker.id;
  if (!isOnWorker) releaseTask(worker, ended.task);
  const isOpen = task.kind !== "done" && run.jobRun.job.outcome === "open";
  if (ended.end !== "done" || !isOpen || run.step.longRunning) return;
  domain.commands.push({
    kind: "report",
    message: "An abandoned attempt completed its task.",
    fields: {
      job: run.jobRun.job.id,
      task: ended.task,
      attempt: ended.attempt,
      worker: worker.id,
    },
  });
  stopTask(domain, run, index);
  abandonStart(domain, run, index);
  completeTask(domain, run, index, moment);
}

/** Keeps the allocation of a task whose start may still be in flight. */
function abandonStart(domain: Domain, run: StepRun, index: number): void {
  const task = run.tasks[index];
  if (task?.kind !== "placed") return;
  const worker = domain.workers.get(task.worker);
  const ref = worker?.placed.get(taskNameOf(run, index));
  if (ref === undefined || ref.runningSinceMs !== undefined) return;
  const { phase, attempt } = task;
  const stoppedAtMs = phase.kind === "stopping"
    ? phase.confirmedAtMs
    : undefined;
  ref.abandonedStart = { attempt, stoppedAtMs };
}

/** Keeps the checkpoint that a worker lists for a task, if there is one. */
function applyCheckpoint(
  domain: Domain,
  run: StepRun,
  task: PlacedTask,
  checkpoint: string,
): void {
  if (checkpoint === "" || keepCheckpoint(domain, run, task, checkpoint)) {
    return;
  }
  if (run.hasReportedCheckpoints) return;
  run.hasReportedCheckpoints = true;
  domain.commands.push({
    kind: "report",
    message: "The checkpoints of a step are too long to be kept.",
    fields: {
      job: run.jobRun.job.id,
      step: run.key,
      characters: run.checkpointCharacters + checkpoint.length,
    },
  });
}

/** Updates a task that is listed as running; stops it if it must not run. */
function applyListedRun(
  domain: Domain,
  worker: DomainWorker,
  listed: ListedRun,
  { report, moment }: { report: WorkerReport; moment: Moment },
): void {
  adoptRun(domain, worker, listed, moment);
  const ref = worker.placed.get(listed.task);
  if (ref?.abandonedStart?.attempt === listed.attempt) {
    ref.abandonedStart = undefined;
  }
  const task = ref?.run.tasks[ref.index];
  if (
    ref === undefined || task?.kind !== "placed" ||
    task.worker !== worker.id || task.attempt !== listed.attempt
  ) {
    stopUnrecordedRun(domain, worker, listed, ref);
    return;
  }
  ref.run.jobRun.hasBegun = true;
  ref.reading = listed.reading;
  ref.runningSinceMs ??= moment.steadyMs;
  updateSettled(domain, worker, ref, report.sentAtMs);
  applyCheckpoint(domain, ref.run, task, listed.checkpoint);
  const { phase } = task;
  if (phase.kind === "stopping") return;
  if (ref.run.jobRun.job.outcome !== "open") {
    return stopTask(domain, ref.run, ref.index);
  }
  const { percent } = listed;
  const isProgress = phase.kind !== "running" || phase.percent !== percent;
  const progressAtMs = isProgress ? moment.steadyMs : phase.progressAtMs;
  task.phase = { kind: "running", percent, progressAtMs };
}

/** Stops a run that is not recorded as the current attempt of its task. */
function stopUnrecordedRun(
  domain: Domain,
  worker: DomainWorker,
  listed: ListedRun,
  ref: PlacedTaskRef | undefined,
): void {
  const task = ref?.run.tasks[ref.index];
  // The remaining members of a gang that is done end by themselves.
  if (task?.kind === "done" && task.attempt === listed.attempt) return;
  const found = findTask(domain, listed.task);
  if (ref === undefined && found !== undefined) {
    // It takes its share of the worker until its end is listed.
    allocateTask(found.run, found.index, worker);
  }
  orderStop(domain, worker.id, listed.task, listed.attempt);
}

/**
 * Ends the attempt of a task that the worker, in a report with all its ends,
 * lists neither as running nor as ended, if it certainly does not run and can't
 * start any more.
 */
function reconcileUnlistedTask(
  domain: Domain,
  worker: DomainWorker,
  name: string,
  ref: PlacedTaskRef,
  { report, moment }: { report: WorkerReport; moment: Moment },
): void {
  const task = ref.run.tasks[ref.index];
  if (task?.kind !== "placed" || task.worker !== worker.id) {
    const { abandonedStart } = ref;
    const mayStart = abandonedStart !== undefined &&
      (abandonedStart.stoppedAtMs ?? Infinity) >= report.sentAtMs;
    if (!mayStart) releaseTask(worker, name);
    return;
  }
  const { phase } = task;
  // The worker has seen this epoch and rejects starts of earlier owners.
  const isOver = phase.kind === "recorded";
  // A later incarnation does not list what ran in the recorded one.
  const neverStarted = isOver && task.bornMs === report.bornMs;
  // It ran before the worker restarted; otherwise its end would be listed.
  const lostInRestart = phase.kind === "running" &&
    phase.progressAtMs < report.sentAtMs;
  // After a confirmed stop, the worker no longer starts the attempt.
  const hasConfirmedStop = phase.kind === "stopping" &&
    phase.confirmedAtMs !== undefined && phase.confirmedAtMs < report.sentAtMs;
  if (isOver || lostInRestart || hasConfirmedStop) {
    const end = neverStarted ? "unstarted" : "lost";
    endAttempt(domain, ref.run, ref.index, end, moment);
  }
}

/** Repeats every stop of an attempt that has not ended. */
export function resendStops(
  domain: Domain,
  worker: DomainWorker,
): void {
  for (const [name, ref] of worker.placed) {
    const task = ref.run.tasks[ref.index];
    if (task?.kind !== "placed" || task.phase.kind !== "stopping") continue;
    orderStop(domain, worker.id, name, task.attempt);
  }
}

/**
 * Stops tasks that are not reported as running and whose start was sent over a
 * link that has since been replaced. The start may be lost or executed late;
 * after the stop, the worker no longer starts the attempt.
 */
export function stopUnconfirmedStarts(
  domain: Domain,
  worker: DomainWorker,
): void {
  const { linkReopenedAtMs } = worker;
  if (linkReopenedAtMs === undefined) return;
  worker.linkReopenedAtMs = undefined;
  for (const ref of worker.placed.values()) {
    const task = ref.run.tasks[ref.index];
    if (task?.kind !== "placed" || task.phase.kind !== "starting") continue;
    if (task.placedAtMs <= linkReopenedAtMs) {
      stopTask(domain, ref.run, ref.index);
    }
  }
}
