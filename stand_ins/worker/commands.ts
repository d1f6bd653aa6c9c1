import * as v from "valibot";
import {
  type DiagnosticMessage,
  diagnostics,
} from "../../src/diagnostics/mod.ts";
import type { Acquisition, Renewal, TaskRecord } from "../../src/model/mod.ts";
import { startSchema } from "../../src/model/mod.ts";
import { accept, type Answer, refuse, waitForWake } from "../base/mod.ts";
import { changedAfter, noteChange, wakeWaiters } from "./journal.ts";
import { describeLease, extendLease, isCurrent } from "./lease.ts";
import {
  accrue,
  checkpointRun,
  continueRun,
  forgetOldRuns,
  hasRoom,
  LEAVING,
  recordsAmong,
  reportUsage,
  reportUsageAgain,
  startRun,
  stopAll,
  stopRun,
  throttleRun,
  usageAmong,
  type WorkerState,
} from "./worker_state.ts";

const LAPSED = "The worker's lease lapsed.";
const STOPPED = "The task was stopped.";

const acquireSchema = v.object({
  holder: v.pipe(v.string(), v.minLength(1)),
  expectedToken: v.number(),
  barred: v.optional(v.array(v.string()), []),
});

const renewSchema = v.object({
  token: v.number(),
  holder: v.optional(v.string()),
  afterEvent: v.number(),
  waitMs: v.number(),
  barred: v.optional(v.array(v.string()), []),
});

const releaseSchema = v.object({ token: v.number() });

const yieldSchema = v.object({ token: v.number(), taskId: v.string() });

/** Takes the lease if the expected token is the current one. */
export function acquire(state: WorkerState, body: unknown): Answer {
  const parsed = v.safeParse(acquireSchema, body);
  if (!parsed.success) return unreadable();
  const { holder, expectedToken } = parsed.output;
  const { lease } = state;
  lapseIfDue(state);
  if (lease.barred.has(holder)) return barred(state, holder);
  if (expectedToken !== lease.token) return stale(state, expectedToken);
  for (const other of parsed.output.barred) lease.barred.add(other);
  accrue(state);
  lease.token += 1;
  lease.holder = holder;
  lease.lapsed = false;
  extend(state);
  forgetOldRuns(state);
  reportUsageAgain(state);
  wakeWaiters(state.journal);
  const acquisition: Acquisition = {
    token: lease.token,
    leaseMs: state.settings.leaseMs,
    capacity: state.settings.capacity,
    boot: state.boot,
    rememberedSinceMs: state.startedAtMs,
    barred: [...lease.barred],
    records: [...state.runs.values()].map((run) => run.record),
    lastEvent: state.journal.lastEvent,
  };
  // A new holder hears of the leaving with its first renewal.
  if (state.leaving) noteChange(state.journal, LEAVING);
  return accept(acquisition);
}

/** Extends the lease; answers at once when tasks changed, else later. */
export async function renew(
  state: WorkerState,
  body: unknown,
  signal: AbortSignal,
): Promise<Answer> {
  const parsed = v.safeParse(renewSchema, body);
  if (!parsed.success) return unreadable();
  const { token, afterEvent, waitMs } = parsed.output;
  const refusal = refusalOf(state, token);
  if (refusal !== undefined) return refusal;
  for (const holder of parsed.output.barred) state.lease.barred.add(holder);
  extend(state);
  await waitForNews(state, token, afterEvent, waitMs, signal);
  const refusalAfterWait = refusalOf(state, token);
  if (refusalAfterWait !== undefined) return refusalAfterWait;
  if (!signal.aborted) extend(state);
  return accept(renewalOf(state, afterEvent));
}

/** Gives the lease up; what runs goes on until the lease lapses. */
export function release(state: WorkerState, body: unknown): Answer {
  const parsed = v.safeParse(releaseSchema, body);
  if (!parsed.success) return unreadable();
  const refusal = refusalOf(state, parsed.output.token);
  if (refusal !== undefined) return refusal;
  state.lease.holder = "";
  extend(state);
  wakeWaiters(state.journal);
  return { status: 204 };
}

/** Starts a task, or returns the record of a run that it already has. */
export function start(state: WorkerState, body: unknown): Answer {
  const parsed = v.safeParse(startSchema, body);
  if (!parsed.success) return unreadable();
  const { token, task } = parsed.output;
  const refusal = refusalOf(state, token);
  if (refusal !== undefined) return refusal;
  if (state.barredTasks.has(task.id)) {
    return refuse(409, diagnostics.taskBarred, [task.id]);
  }
  const earlier = state.runs.get(task.id);
  const isCheckpointed = earlier?.record.state === "checkpointed";
  const isRepeat = earlier !== undefined && !isCheckpointed &&
    !mayStartAnew(earlier.record, task.attempt);
  if (isRepeat) return accept(earlier.record);
  const room = refusalForRoom(state, parsed.output.task);
  if (room !== undefined) return room;
  if (earlier !== undefined && isCheckpointed) {
    continueRun(state, earlier, task);
    return accept(earlier.record);
  }
  return accept(startRun(state, task).record);
}

/** Checkpoints a running task. */
export function checkpoint(state: WorkerState, body: unknown): Answer {
  return command(state, body, (taskId) => {
    const run = state.running.get(taskId);
    if (run !== undefined) checkpointRun(state, run);
  });
}

/** Throttles a running task. */
export function throttle(state: WorkerState, body: unknown): Answer {
  return command(state, body, (taskId) => {
    const run = state.running.get(taskId);
    if (run !== undefined) throttleRun(state, run);
  });
}

/** Stops a task, or bars the id of a task that was never seen. */
export function stop(state: WorkerState, body: unknown): Answer {
  return command(state, body, (taskId) => {
    const run = state.runs.get(taskId);
    if (run === undefined) {
      state.barredTasks.add(taskId);
      return;
    }
    const { state: runState } = run.record;
    if (runState === "running" || runState === "checkpointed") {
      stopRun(state, run, STOPPED);
    }
  });
}

/** Ends the lease and all that runs when its time is over. */
export function lapseIfDue(state: WorkerState): void {
  const { lease } = state;
  if (lease.lapsed || performance.now() < lease.expiresAtMs) return;
  stopAll(state, LAPSED);
  lease.lapsed = true;
  wakeWaiters(state.journal);
}

function command(
  state: WorkerState,
  body: unknown,
  act: (taskId: string) => void,
): Answer {
  const parsed = v.safeParse(yieldSchema, body);
  if (!parsed.success) return unreadable();
  const refusal = refusalOf(state, parsed.output.token);
  if (refusal !== undefined) return refusal;
  act(parsed.output.taskId);
  const record = state.runs.get(parsed.output.taskId)?.record;
  return accept(record === undefined ? {} : { record });
}

function refusalOf(state: WorkerState, token: number): Answer | undefined {
  lapseIfDue(state);
  if (!isCurrent(state.lease, token)) return stale(state, token);
  const { holder, barred: holders } = state.lease;
  return holders.has(holder) ? barred(state, holder) : undefined;
}

function refusalForRoom(
  state: WorkerState,
  task: Parameters<typeof hasRoom>[1],
): Answer | undefined {
  const { id } = state.settings;
  if (state.leaving) return refuse(409, diagnostics.workerLeaving, [id]);
  if (!hasRoom(state, task)) return refuse(507, diagnostics.workerFull, [id]);
  return undefined;
}

function mayStartAnew(record: TaskRecord, attempt: number): boolean {
  return record.endedAtMs !== undefined && record.task.idempotent &&
    attempt > record.task.attempt;
}

async function waitForNews(
  state: WorkerState,
  token: number,
  afterEvent: number,
  waitMs: number,
  signal: AbortSignal,
): Promise<void> {
  const untilMs = performance.now() + waitMs;
  while (!signal.aborted && isCurrent(state.lease, token)) {
    const leftMs = untilMs - performance.now();
    if (leftMs <= 0 || hasNews(state, afterEvent)) return;
    await waitForWake(state.journal.waiters, leftMs, signal);
  }
}

/** Tells whether anything but usage changed after an event. */
function hasNews(state: WorkerState, afterEvent: number): boolean {
  const subjects = changedAfter(state.journal, afterEvent);
  return subjects.has(LEAVING) || recordsAmong(state, subjects).length > 0;
}

function renewalOf(state: WorkerState, afterEvent: number): Renewal {
  forgetOldRuns(state);
  reportUsage(state);
  const subjects = changedAfter(state.journal, afterEvent);
  return {
    leaseMs: state.settings.leaseMs,
    changed: recordsAmong(state, subjects),
    lastEvent: state.journal.lastEvent,
    usage: usageAmong(state, subjects),
    leaving: state.leaving,
  };
}

function extend(state: WorkerState): void {
  extendLease(state.lease, state.settings.leaseMs);
  if (state.leaseTimer === undefined) watchLease(state);
}

function watchLease(state: WorkerState): void {
  const leftMs = Math.max(1, state.lease.expiresAtMs - performance.now());
  state.leaseTimer = setTimeout(() => {
    state.leaseTimer = undefined;
    lapseIfDue(state);
    if (!state.lease.lapsed) watchLease(state);
  }, leftMs);
}

function stale(state: WorkerState, token: number): Answer {
  const { lease } = state;
  const values = [token, lease.token];
  return refuse(409, diagnostics.tokenStale, values, describeLease(lease));
}

function barred(state: WorkerState, holder: string): Answer {
  const lease = describeLease(state.lease);
  return refuse(409, diagnostics.holderBarred, [holder], lease);
}

function unreadable(): Answer {
  const message: DiagnosticMessage = diagnostics.bodyUnreadable;
  return refuse(400, message, ["a field is missing or of the wrong type"]);
}
