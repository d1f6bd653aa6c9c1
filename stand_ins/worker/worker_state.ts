import { randomUUID } from "node:crypto";
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  type Task,
  type TaskRecord,
} from "../../src/model/mod.ts";
import { type Auditor, createAuditor } from "./audit.ts";
import {
  createJournal,
  forgetChanges,
  type Journal,
  noteChange,
  wakeWaiters,
} from "./journal.ts";
import { createLease, type Lease } from "./lease.ts";
import {
  createRun,
  endingOf,
  freedByThrottle,
  pauseRun,
  resumeRun,
  type Run,
  usedBy,
} from "./run.ts";
import {
  accrueUsage,
  createUsageLedger,
  type UsageLedger,
} from "./usage_ledger.ts";
import type { WorkerSettings } from "./worker_options.ts";

/** Subject of the change that the worker is about to leave. */
export const LEAVING = "leaving";
const USAGE_PREFIX = "usage ";

/** Everything that a worker knows. */
export type WorkerState = {
  settings: WorkerSettings;
  /** Names this run of the worker, which remembers nothing older. */
  boot: string;
  /** When this run began, in milliseconds since the epoch. */
  startedAtMs: number;
  lease: Lease;
  /** Every task that runs, waits at a checkpoint or is remembered. */
  runs: Map<string, Run>;
  /** The part of `runs` that runs now. */
  running: Map<string, Run>;
  /** Task ids that were stopped before they were ever seen. */
  barredTasks: Set<string>;
  journal: Journal;
  ledger: UsageLedger;
  /** Up to when usage was added up, in milliseconds since the epoch. */
  accruedAtMs: number;
  /** Rows of the ledger that grew since usage was last reported. */
  grown: Set<string>;
  reportedAtMs: number;
  audit: Auditor;
  leaving: boolean;
  failAll: boolean;
  leaseTimer: NodeJS.Timeout | undefined;
};

/** Builds the state of a worker that has run nothing. */
export function createWorkerState(settings: WorkerSettings): WorkerState {
  return {
    settings,
    boot: randomUUID(),
    startedAtMs: Date.now(),
    lease: createLease(),
    runs: new Map(),
    running: new Map(),
    barredTasks: new Set(),
    journal: createJournal(),
    ledger: createUsageLedger(settings.id),
    accruedAtMs: Date.now(),
    grown: new Set(),
    reportedAtMs: Date.now(),
    audit: createAuditor(settings.id, settings.capacity),
    leaving: false,
    failAll: false,
    leaseTimer: undefined,
  };
}

/** Tells whether a task fits beside what runs. */
export function hasRoom(state: WorkerState, task: Task): boolean {
  const { slots, resources } = state.settings.capacity;
  if (state.running.size >= slots) return false;
  const used = [...state.running.values()].map(usedBy)
    .reduce(addResources, NO_RESOURCES);
  return fitsInto(addResources(used, task.demand), resources);
}

/** Starts a task that has no run, or whose earlier run has ended. */
export function startRun(state: WorkerState, task: Task): Run {
  accrue(state);
  const run = createRun(task, Date.now());
  state.runs.set(task.id, run);
  launch(state, run, false);
  return run;
}

/** Lets a checkpointed task go on. */
export function continueRun(state: WorkerState, run: Run, task: Task): void {
  accrue(state);
  run.record = { ...run.record, task, state: "running" };
  run.throttled = false;
  launch(state, run, true);
}

/** Takes a running task off the worker and keeps its progress. */
export function checkpointRun(state: WorkerState, run: Run): void {
  accrue(state);
  pauseRun(run);
  run.record = { ...run.record, state: "checkpointed" };
  settle(state, run);
}

/** Halves the speed of a running task. */
export function throttleRun(state: WorkerState, run: Run): void {
  if (run.throttled) return;
  accrue(state);
  pauseRun(run);
  run.throttled = true;
  state.audit.throttled(run.record.task.id, freedByThrottle(run));
  resumeRun(run, () => completeRun(state, run));
}

/** Ends a task before its time. */
export function stopRun(state: WorkerState, run: Run, cause: string): void {
  accrue(state);
  pauseRun(run);
  run.record = {
    ...run.record,
    state: "stopped",
    endedAtMs: Date.now(),
    cause,
  };
  settle(state, run);
}

/** Stops everything that runs or waits at a checkpoint. */
export function stopAll(state: WorkerState, cause: string): void {
  for (const run of state.runs.values()) {
    const { state: runState } = run.record;
    if (runState === "running" || runState === "checkpointed") {
      stopRun(state, run, cause);
    }
  }
}

/** Adds the usage since the last time to the ledger. */
export function accrue(state: WorkerState): void {
  const nowMs = Date.now();
  for (const run of state.running.values()) {
    const keys = accrueUsage(
      state.ledger,
      state.lease.token,
      run.record.task,
      usedBy(run),
      state.accruedAtMs,
      nowMs,
    );
    for (const key of keys) state.grown.add(key);
  }
  state.accruedAtMs = nowMs;
}

/** Reports usage that grew, if the lag has passed since the last report. */
export function reportUsage(state: WorkerState): void {
  const nowMs = Date.now();
  if (nowMs - state.reportedAtMs < state.settings.usageLagMs) return;
  accrue(state);
  state.reportedAtMs = nowMs;
  for (const key of state.grown) noteChange(state.journal, USAGE_PREFIX + key);
  state.grown.clear();
}

/** Reports the usage rows again, for a new holder. */
export function reportUsageAgain(state: WorkerState): void {
  for (const key of state.ledger.rows.keys()) state.grown.add(key);
}

/** Returns the usage rows among changed subjects, copied. */
export function usageAmong(state: WorkerState, subjects: Set<string>) {
  return [...subjects]
    .filter((subject) => subject.startsWith(USAGE_PREFIX))
    .map((subject) => state.ledger.rows.get(subject.slice(USAGE_PREFIX.length)))
    .filter((row) => row !== undefined)
    .map((row) => ({ ...row }));
}

/** Returns the task records among changed subjects. */
export function recordsAmong(
  state: WorkerState,
  subjects: Set<string>,
): TaskRecord[] {
  return [...subjects]
    .map((subject) => state.runs.get(subject)?.record)
    .filter((record) => record !== undefined);
}

/** Forgets tasks that ended long ago. */
export function forgetOldRuns(state: WorkerState): void {
  const beforeMs = Date.now() - state.settings.rememberMs;
  let forgotten = 0;
  for (const [taskId, run] of state.runs) {
    const endedAtMs = run.record.endedAtMs;
    if (endedAtMs === undefined || endedAtMs >= beforeMs) continue;
    state.runs.delete(taskId);
    forgotten += 1;
  }
  if (forgotten === 0) return;
  forgetChanges(
    state.journal,
    (subject) =>
      subject.startsWith(USAGE_PREFIX) ||
      subject === LEAVING || state.runs.has(subject),
  );
}

function launch(state: WorkerState, run: Run, resumed: boolean): void {
  const { task } = run.record;
  state.running.set(task.id, run);
  state.audit.opened(task, state.lease, resumed);
  noteChange(state.journal, task.id);
  if (state.failAll) {
    failRun(state, run, "The worker fails everything.");
    return;
  }
  wakeWaiters(state.journal);
  resumeRun(run, () => completeRun(state, run));
}

function completeRun(state: WorkerState, run: Run): void {
  const ending = endingOf(run.record.task);
  if (ending.kind === "failed") {
    failRun(state, run, ending.cause);
    return;
  }
  accrue(state);
  run.record = {
    ...run.record,
    state: "finished",
    endedAtMs: Date.now(),
    output: ending.output,
    peak: usedBy(run),
  };
  state.audit.finished(run.record.task.id, ending.output);
  settle(state, run);
}

function failRun(state: WorkerState, run: Run, cause: string): void {
  accrue(state);
  run.record = { ...run.record, state: "failed", endedAtMs: Date.now(), cause };
  settle(state, run);
}

/** Takes a run that no longer runs off the worker and tells the holder. */
function settle(state: WorkerState, run: Run): void {
  const { task, state: ended } = run.record;
  state.running.delete(task.id);
  state.audit.closed(task.id, ended);
  noteChange(state.journal, task.id);
  wakeWaiters(state.journal);
}
