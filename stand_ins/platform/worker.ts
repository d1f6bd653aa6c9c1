/**
 * An in-memory stand-in for one of the platform's workers.
 *
 * @module
 */
import type { StandInResponse } from "./store.ts";

const FULL_PERCENT = 100;
/** Number of ends that a worker lists at a time. */
const MAX_LISTED_ENDS = 500;

type ActiveRun = { attempt: number; endsAtMs: number; record: RunRecord };

/** The worker's own record of one run. */
export type RunRecord = {
  task: string;
  attempt: number;
  specification: string;
  startedAtMs: number;
  /** Undefined while the run is active. */
  endedAtMs: number | undefined;
  /**
   * How the run ended, as on the wire: `done`, `stopped` or `lapsed`; `crashed`
   * where its worker crashed before.
   */
  end: string | undefined;
  /**
   * Whether its end was acknowledged and the lease had not lapsed since the end.
   */
  isAcknowledged?: boolean;
  /** Whether its worker crashed before the end was acknowledged. */
  mayBeUnread?: boolean;
};

/** Returns the run time of a task, in milliseconds. */
export type TaskDuration = (specification: string, task: string) => number;

/** The clock of a worker's incarnation, and the leases that it accepts. */
export type WorkerTiming = {
  /** The reading of its clock at its start; leases end at a reading. */
  clockStartMs: number;
  /** How fast its clock runs. */
  clockRate: number;
  /** A longer lease is shortened to this, in milliseconds. */
  maxLeaseMs: number;
};

/** The state of an in-memory worker. */
export type Worker = WorkerTiming & {
  id: string;
  /** Start time of this incarnation, in milliseconds. */
  bornMs: number;
  /** Highest fencing token that was accepted. */
  fence: number;
  running: Map<string, ActiveRun>;
  /** Unacknowledged ended runs: number, task, attempt, end, checkpoint. */
  endedRuns: [number, string, number, string, string][];
  nextEndedRunNumber: number;
  /** Highest attempt that ended or was stopped, by task. */
  highestClosedAttempt: Map<string, number>;
  /** The end of its lease, on its clock. */
  leaseUntilMs: number;
  /** When it was last seen without a lease, in milliseconds. */
  lapsedAtMs: number;
  /** Every run that was started, in order. */
  started: RunRecord[];
  durationMs: TaskDuration;
  /** Whether a task crashes each worker that starts it. */
  isDeadly: (task: string, specification: string) => boolean;
  /** Whether a task has crashed this incarnation; it then does nothing more. */
  hasCrashed: boolean;
  /** Number of commands that were refused because of their fencing token. */
  refusedAsFenced: number;
};

type WorkerCommand = {
  task: string;
  attempt: number;
  fencing_token: number;
  deadline_ms?: number;
  ack_cursor?: number;
  spec?: string;
};

/**
 * Builds the body of a heartbeat, which renews the lease and acknowledges
 * ended runs.
 */
export function heartbeatCommand(heartbeat: {
  epoch: number;
  leaseUntilMs: number | undefined;
  acknowledged: number;
}): WorkerCommand {
  return {
    ...startOrStopCommand({ task: "", attempt: 0, ...heartbeat }),
    ack_cursor: heartbeat.acknowledged,
  };
}

/** Builds the body of a start or a stop; a stop carries no lease. */
export function startOrStopCommand(options: {
  task: string;
  attempt: number;
  epoch: number;
  leaseUntilMs: number | undefined;
}): WorkerCommand {
  const { task, attempt, epoch, leaseUntilMs } = options;
  return {
    task,
    attempt,
    fencing_token: epoch,
    ...(leaseUntilMs === undefined ? {} : { deadline_ms: leaseUntilMs }),
  };
}

/** URL paths of the commands to a worker. */
export const COMMAND_PATHS = {
  heartbeat: "/hold",
  start: "/run-start",
  stop: "/run-stop",
  pace: "/pace",
} as const;

/** Creates an idle worker, whose clock shows the given time by default. */
export function createWorker(
  id: string,
  durationMs: TaskDuration,
  nowMs: number,
  isDeadly: Worker["isDeadly"] = () => false,
  timing: Partial<WorkerTiming> = {},
): Worker {
  return {
    clockStartMs: nowMs,
    clockRate: 1,
    maxLeaseMs: Infinity,
    ...timing,
    id,
    bornMs: nowMs,
    fence: 0,
    running: new Map(),
    endedRuns: [],
    nextEndedRunNumber: 1,
    highestClosedAttempt: new Map(),
    leaseUntilMs: 0,
    lapsedAtMs: nowMs,
    started: [],
    durationMs,
    isDeadly,
    hasCrashed: false,
    refusedAsFenced: 0,
  };
}

/** The reading of a worker's clock. */
export function readClock(worker: Worker, nowMs: number): number {
  const elapsedMs = (nowMs - worker.bornMs) * worker.clockRate;
  return Math.floor(worker.clockStartMs + elapsedMs);
}

/**
 * Applies a command to a worker and returns the response. A command with an
 * outdated fencing token is refused.
 */
export function handleCommand(
  worker: Worker,
  path: string,
  command: WorkerCommand,
  nowMs: number,
): StandInResponse {
  endDueRuns(worker, nowMs);
  if (command.fencing_token < worker.fence) {
    worker.refusedAsFenced += 1;
    return conflictResponse(worker, "fence", nowMs);
  }
  worker.fence = command.fencing_token;
  if (command.deadline_ms !== undefined) {
    const longestMs = readClock(worker, nowMs) + worker.maxLeaseMs;
    worker.leaseUntilMs = Math.max(
      worker.leaseUntilMs,
      Math.min(command.deadline_ms, longestMs),
    );
  }
  switch (path) {
    case COMMAND_PATHS.heartbeat:
      acknowledgeEnds(worker, command.ack_cursor ?? 0);
      return { status: 200, body: heartbeatBody(worker, nowMs) };
    case COMMAND_PATHS.start:
      return startRun(worker, command, nowMs);
    case COMMAND_PATHS.stop:
      endRun(worker, command.task, "stopped", nowMs);
      closeAttempt(worker, command.task, command.attempt);
      return okResponse(worker, nowMs);
    default:
      return okResponse(worker, nowMs);
  }
}

/** Returns the latest record of an attempt, also of a former incarnation. */
export function findRunRecord(
  { started }: Worker,
  task: string,
  attempt: number,
): RunRecord | undefined {
  return started.findLast((run) =>
    run.task === task && run.attempt === attempt
  );
}

/** Forgets the ends up to a number. */
function acknowledgeEnds(worker: Worker, acknowledged: number): void {
  for (const [number, task, attempt] of worker.endedRuns) {
    if (number > acknowledged) break;
    const record = findRunRecord(worker, task, attempt);
    if (record?.endedAtMs === undefined) continue;
    record.isAcknowledged = worker.lapsedAtMs <= record.endedAtMs;
  }
  worker.endedRuns = worker.endedRuns.filter(([number]) =>
    number > acknowledged
  );
}

function startRun(
  worker: Worker,
  command: WorkerCommand,
  nowMs: number,
): StandInResponse {
  const { task, attempt } = command;
  if (worker.running.get(task)?.attempt === attempt) {
    return okResponse(worker, nowMs);
  }
  if (attempt <= (worker.highestClosedAttempt.get(task) ?? 0)) {
    return conflictResponse(worker, "old", nowMs);
  }
  if ((command.deadline_ms ?? 0) < readClock(worker, nowMs)) {
    return conflictResponse(worker, "late", nowMs);
  }
  const specification = command.spec ?? "";
  const record: RunRecord = {
    task,
    attempt,
    specification,
    startedAtMs: nowMs,
    endedAtMs: undefined,
    end: undefined,
  };
  const endsAtMs = nowMs + worker.durationMs(specification, task);
  worker.running.set(task, { attempt, endsAtMs, record });
  worker.started.push(record);
  worker.hasCrashed = worker.isDeadly(task, specification);
  return okResponse(worker, nowMs);
}

/** Ends every run that has completed, or all runs if the lease has expired. */
export function endDueRuns(worker: Worker, nowMs: number): void {
  const isLapsed = worker.leaseUntilMs < readClock(worker, nowMs);
  const leasedMs = (worker.leaseUntilMs - worker.clockStartMs) /
    worker.clockRate;
  const lapseAtMs = isLapsed
    ? Math.max(worker.bornMs, Math.floor(worker.bornMs + leasedMs))
    : Infinity;
  if (isLapsed) worker.lapsedAtMs = nowMs;
  for (const [task, { endsAtMs }] of worker.running) {
    if (endsAtMs <= Math.min(nowMs, lapseAtMs)) {
      endRun(worker, task, "done", endsAtMs);
    } else if (isLapsed) endRun(worker, task, "lapsed", lapseAtMs);
  }
}

/** Ends a run for a reason, as on the wire; does nothing if it is not active. */
export function endRun(
  worker: Worker,
  task: string,
  reason: string,
  nowMs: number,
): void {
  const run = worker.running.get(task);
  if (run === undefined) return;
  worker.running.delete(task);
  run.record.endedAtMs = nowMs;
  run.record.end = reason;
  worker.endedRuns.push([
    worker.nextEndedRunNumber++,
    task,
    run.attempt,
    reason,
    "",
  ]);
  closeAttempt(worker, task, run.attempt);
}

function closeAttempt(worker: Worker, task: string, attempt: number): void {
  worker.highestClosedAttempt.set(
    task,
    Math.max(attempt, worker.highestClosedAttempt.get(task) ?? 0),
  );
}

function heartbeatBody(worker: Worker, nowMs: number): object {
  const running = [...worker.running].map(([task, run]) => [
    task,
    run.attempt,
    "",
    progressPercent(run, nowMs),
    0,
  ]);
  return {
    clock_ms: readClock(worker, nowMs),
    born: worker.bornMs,
    running,
    finished: worker.endedRuns.slice(0, MAX_LISTED_ENDS),
  };
}

/** Progress of a run, in percent. */
function progressPercent(
  { endsAtMs, record }: ActiveRun,
  nowMs: number,
): number {
  const totalMs = Math.max(1, endsAtMs - record.startedAtMs);
  return Math.floor((nowMs - record.startedAtMs) / totalMs * FULL_PERCENT);
}

function okResponse(worker: Worker, nowMs: number): StandInResponse {
  return {
    status: 200,
    body: { clock_ms: readClock(worker, nowMs), born: worker.bornMs },
  };
}

function conflictResponse(
  worker: Worker,
  reason: string,
  nowMs: number,
): StandInResponse {
  const body = {
    clock_ms: readClock(worker, nowMs),
    born: worker.bornMs,
    reason,
  };
  return { status: 409, body };
}
