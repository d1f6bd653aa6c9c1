/**
 * A worker on a simulated clock, with a history of its own of every run. The
 * checks go by this history alone.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type DiagnosticMessage, diagnostics } from "../../diagnostics/mod.ts";
import type {
  AcquireCommand,
  Fault,
  RenewCommand,
  Yielding,
} from "../../hosts/mod.ts";
import {
  type Acquisition,
  addResources,
  fitsInto,
  NO_RESOURCES,
  type Renewal,
  type Task,
  type TaskRecord,
  type WorkerAddress,
  type WorkerCapacity,
} from "../../model/mod.ts";

/** The workers' wall clock at the start of a schedule, in milliseconds. */
export const START_MS = 1_700_000_000_000;
/** How long a lease lasts. */
export const LEASE_MS = 1_500;
const TOKENS_PER_BOOT = 1_000;
/** The largest amount of everything that a worker runs at once. */
export const CAPACITY: WorkerCapacity = {
  resources: { cpuMillis: 2_000, memoryMb: 2_000, accelerators: 0 },
  slots: 2,
  connections: 64,
};

/** One run in the history of a worker. */
export type HistoryRun = {
  worker: string;
  taskId: string;
  requestId: string;
  index: number;
  idempotent: boolean;
  startedAtMs: number;
  /** When it ended; undefined while it runs. */
  endedAtMs: number | undefined;
  finished: boolean;
};

type FakeRun = {
  record: TaskRecord;
  history: HistoryRun;
  /** When it finishes by itself. */
  finishesAtMs: number;
  changedAt: number;
};

/** A worker. */
export type FakeWorker = {
  address: WorkerAddress;
  alive: boolean;
  /** Whether the instance list shows it. */
  listed: boolean;
  leaving: boolean;
  boot: number;
  /** Since when it remembers its runs (wall clock, ms). */
  rememberedSinceMs: number;
  token: number;
  holder: string;
  lapsed: boolean;
  expiresAtMs: number;
  barred: Set<string>;
  barredTasks: Set<string>;
  runs: Map<string, FakeRun>;
  lastEvent: number;
};

/** Creates a worker that has run nothing. */
export function createFakeWorker(address: WorkerAddress): FakeWorker {
  return {
    address,
    alive: true,
    listed: true,
    leaving: false,
    boot: 1,
    rememberedSinceMs: 0,
    token: 0,
    holder: "",
    lapsed: true,
    expiresAtMs: 0,
    barred: new Set(),
    barredTasks: new Set(),
    runs: new Map(),
    lastEvent: 0,
  };
}

/** Ends what ended by a time: runs that finished, and a lease that lapsed. */
export function settleWorker(worker: FakeWorker, nowMs: number): void {
  const isDue = !worker.lapsed && worker.expiresAtMs <= nowMs;
  const untilMs = isDue ? worker.expiresAtMs : nowMs;
  for (const run of worker.runs.values()) {
    if (run.record.state === "running" && run.finishesAtMs <= untilMs) {
      endRun(worker, run, "finished", run.finishesAtMs);
    }
  }
  if (!isDue) return;
  worker.lapsed = true;
  stopRuns(worker, worker.expiresAtMs);
}

/** Ends the process of a worker; it remembers nothing afterwards. */
export function killWorker(worker: FakeWorker, nowMs: number): void {
  settleWorker(worker, nowMs);
  stopRuns(worker, nowMs);
  worker.alive = false;
}

/**
 * Starts the process of a worker anew. It has forgotten everything, but its
 * tokens go on rising, as workers promise.
 */
export function rebootWorker(worker: FakeWorker, wallMs: number): void {
  const { address, boot, listed, leaving } = worker;
  Object.assign(worker, createFakeWorker(address));
  worker.boot = boot + 1;
  worker.rememberedSinceMs = wallMs;
  worker.token = boot * TOKENS_PER_BOOT;
  worker.listed = listed;
  worker.leaving = leaving;
}

/** Takes the lease if the expected token is the current one. */
export function acquire(
  worker: FakeWorker,
  command: AcquireCommand,
  nowMs: number,
): Result<Acquisition, Fault> {
  settleWorker(worker, nowMs);
  if (worker.barred.has(command.holder)) {
    return refuse(worker, diagnostics.holderBarred);
  }
  if (command.expectedToken !== worker.token) {
    return refuse(worker, diagnostics.tokenStale);
  }
  for (const holder of command.barred) worker.barred.add(holder);
  worker.token += 1;
  worker.holder = command.holder;
  worker.lapsed = false;
  worker.expiresAtMs = nowMs + LEASE_MS;
  return ok({
    token: worker.token,
    leaseMs: LEASE_MS,
    capacity: CAPACITY,
    boot: String(worker.boot),
    rememberedSinceMs: worker.rememberedSinceMs,
    barred: [...worker.barred],
    records: [...worker.runs.values()].map((run) => run.record),
    lastEvent: worker.lastEvent,
  });
}

/** Takes the bars of a renewal in and extends the lease. */
export function extend(
  worker: FakeWorker,
  command: RenewCommand,
  nowMs: number,
): Fault | undefined {
  const fault = refusalOf(worker, command.token, nowMs);
  if (fault !== undefined) return fault;
  for (const holder of command.barred) worker.barred.add(holder);
  worker.expiresAtMs = nowMs + LEASE_MS;
  return undefined;
}

/** Answers a renewal. */
export function renew(
  worker: FakeWorker,
  command: RenewCommand,
  nowMs: number,
): Result<Renewal, Fault> {
  const fault = extend(worker, command, nowMs);
  if (fault !== undefined) return err(fault);
  const changed = [...worker.runs.values()]
    .filter((run) => run.changedAt > command.afterEvent)
    .map((run) => run.record);
  const { lastEvent, leaving } = worker;
  return ok({ leaseMs: LEASE_MS, changed, lastEvent, usage: [], leaving });
}

/** Starts a task, or returns the record of the run that it already has. */
export function start(
  worker: FakeWorker,
  token: number,
  task: Task,
  nowMs: number,
): Result<{ record: TaskRecord; started?: HistoryRun }, Fault> {
  const fault = refusalOf(worker, token, nowMs);
  if (fault !== undefined) return err(fault);
  if (worker.barredTasks.has(task.id)) {
    return refuse(worker, diagnostics.taskBarred);
  }
  const earlier = worker.runs.get(task.id);
  const isResumed = earlier?.record.state === "checkpointed";
  if (earlier && !isResumed && !mayStartAnew(earlier, task)) {
    return ok({ record: earlier.record });
  }
  if (worker.leaving) return refuse(worker, diagnostics.workerLeaving);
  if (!hasRoom(worker, task)) return refuse(worker, diagnostics.workerFull);
  const history: HistoryRun = {
    worker: worker.address.id,
    taskId: task.id,
    requestId: task.requestId,
    index: task.index,
    idempotent: task.idempotent,
    startedAtMs: nowMs,
    endedAtMs: undefined,
    finished: false,
  };
  const record: TaskRecord = {
    task,
    state: "running",
    startedAtMs: START_MS + nowMs,
  };
  const run = {
    record,
    history: isResumed ? earlier.history : history,
    finishesAtMs: nowMs + task.durationMs,
    changedAt: ++worker.lastEvent,
  };
  run.history.endedAtMs = undefined;
  worker.runs.set(task.id, run);
  return ok(isResumed ? { record } : { record, started: history });
}

/** Makes a task give way; bars a task that was never seen. */
export function yieldTask(
  worker: FakeWorker,
  token: number,
  taskId: string,
  yielding: Yielding,
  nowMs: number,
): Result<TaskRecord | undefined, Fault> {
  const fault = refusalOf(worker, token, nowMs);
  if (fault !== undefined) return err(fault);
  const run = worker.runs.get(taskId);
  if (run === undefined) {
    if (yielding === "stop") worker.barredTasks.add(taskId);
    return ok(undefined);
  }
  const { state } = run.record;
  if (
    yielding === "stop" && (state === "running" || state === "checkpointed")
  ) {
    endRun(worker, run, "stopped", nowMs);
  }
  if (yielding === "checkpoint" && state === "running") {
    endRun(worker, run, "checkpointed", nowMs);
  }
  return ok(run.record);
}

/** What a finished task returns: only its own request can have asked for it. */
export function outputOf(taskId: string, payload: unknown): unknown {
  return { of: taskId, payload };
}

function endRun(
  worker: FakeWorker,
  run: FakeRun,
  state: "finished" | "stopped" | "checkpointed",
  atMs: number,
): void {
  const { task } = run.record;
  run.record = {
    ...run.record,
    state,
    ...(state === "checkpointed" ? {} : { endedAtMs: START_MS + atMs }),
    ...(state === "finished"
      ? { output: outputOf(task.id, task.payload) }
      : {}),
    ...(state === "stopped" ? { cause: "stopped" } : {}),
  };
  run.history.endedAtMs = atMs;
  run.history.finished = state === "finished";
  run.changedAt = ++worker.lastEvent;
}

function stopRuns(worker: FakeWorker, atMs: number): void {
  for (const run of worker.runs.values()) {
    const { state } = run.record;
    if (state !== "running" && state !== "checkpointed") continue;
    endRun(worker, run, "stopped", atMs);
  }
}

function mayStartAnew(run: FakeRun, task: Task): boolean {
  return run.record.endedAtMs !== undefined && task.idempotent &&
    task.attempt > run.record.task.attempt;
}

function hasRoom(worker: FakeWorker, task: Task): boolean {
  const running = [...worker.runs.values()]
    .filter((run) => run.record.state === "running");
  if (running.length >= CAPACITY.slots) return false;
  const used = running.map((run) => run.record.task.demand)
    .reduce(addResources, NO_RESOURCES);
  return fitsInto(addResources(used, task.demand), CAPACITY.resources);
}

function refusalOf(
  worker: FakeWorker,
  token: number,
  nowMs: number,
): Fault | undefined {
  settleWorker(worker, nowMs);
  if (token !== worker.token || worker.lapsed) {
    return faultOf(worker, diagnostics.tokenStale);
  }
  if (!worker.barred.has(worker.holder)) return undefined;
  return faultOf(worker, diagnostics.holderBarred);
}

function refuse<T>(
  worker: FakeWorker,
  message: DiagnosticMessage,
): Result<T, Fault> {
  return err(faultOf(worker, message));
}

function faultOf(worker: FakeWorker, message: DiagnosticMessage): Fault {
  const { token, holder, lapsed } = worker;
  return {
    kind: "refused",
    code: message.code,
    step: "worker",
    peer: worker.address.id,
    message: message.template,
    data: { token, holder, lapsed },
  };
}
