/**
 * A stand-in of one of the platform's workers, in memory.
 *
 * @module
 */
import type { StoreAnswer } from "./store.ts";

const FULL_PERCENT = 100;

type Run = { attempt: number; endsAtMs: number; record: RunRecord };

/** A run that was carried out, as the worker remembers it. */
export type RunRecord = {
  task: string;
  attempt: number;
  specification: string;
  startedAtMs: number;
  /** Undefined while it runs. */
  endedAtMs: number | undefined;
  /** How it ended, in the words of the wire. */
  end: string | undefined;
};

/** How long a task runs, in milliseconds. */
export type TaskDuration = (specification: string, task: string) => number;

/** A worker in memory. */
export type Worker = {
  id: string;
  bornMs: number;
  fence: number;
  running: Map<string, Run>;
  /** Number, task, attempt, how it ended, checkpoint. */
  ends: [number, string, number, string, string][];
  nextEnd: number;
  /** The highest attempt that ended or was stopped, by task. */
  closed: Map<string, number>;
  leaseUntilMs: number;
  /** Every start that was carried out, in order. */
  started: RunRecord[];
  durationMs: TaskDuration;
};

type Order = {
  task: string;
  attempt: number;
  fencing_token: number;
  deadline_ms?: number;
  ack_cursor?: number;
  spec?: string;
};

/** A look at a worker, as the wire has it. */
export function lookOrder(look: {
  epoch: number;
  leaseUntilMs: number;
  acknowledged: number;
}): Order {
  return {
    task: "",
    attempt: 0,
    fencing_token: look.epoch,
    deadline_ms: look.leaseUntilMs,
    ack_cursor: look.acknowledged,
  };
}

/** A start or a stop, as the wire has it; a stop carries no lease. */
export function runOrder(run: {
  task: string;
  attempt: number;
  epoch: number;
  leaseUntilMs: number | undefined;
}): Order {
  const { task, attempt, epoch, leaseUntilMs } = run;
  return {
    task,
    attempt,
    fencing_token: epoch,
    ...(leaseUntilMs === undefined ? {} : { deadline_ms: leaseUntilMs }),
  };
}

/** The paths of the orders. */
export const ORDER_PATHS = {
  look: "/hold",
  start: "/run-start",
  stop: "/run-stop",
  pace: "/pace",
} as const;

/** Creates a worker that runs nothing. */
export function createWorker(
  id: string,
  durationMs: TaskDuration,
  nowMs: number,
): Worker {
  return {
    id,
    bornMs: nowMs,
    fence: 0,
    running: new Map(),
    ends: [],
    nextEnd: 1,
    closed: new Map(),
    leaseUntilMs: 0,
    started: [],
    durationMs,
  };
}

/** Answers one order. */
export function answerOrder(
  worker: Worker,
  path: string,
  order: Order,
  nowMs: number,
): StoreAnswer {
  endDueRuns(worker, nowMs);
  if (order.fencing_token < worker.fence) {
    return refusal(worker, "fence", nowMs);
  }
  worker.fence = order.fencing_token;
  if (order.deadline_ms !== undefined) {
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, order.deadline_ms);
  }
  switch (path) {
    case ORDER_PATHS.look:
      worker.ends = worker.ends.filter(([number]) =>
        number > (order.ack_cursor ?? 0)
      );
      return { status: 200, body: lists(worker, nowMs) };
    case ORDER_PATHS.start:
      return start(worker, order, nowMs);
    case ORDER_PATHS.stop:
      end(worker, order.task, "stopped", nowMs);
      close(worker, order.task, order.attempt);
      return done(worker, nowMs);
    default:
      return done(worker, nowMs);
  }
}

function start(worker: Worker, order: Order, nowMs: number): StoreAnswer {
  const { task, attempt } = order;
  if (worker.running.get(task)?.attempt === attempt) return done(worker, nowMs);
  if (attempt <= (worker.closed.get(task) ?? 0)) {
    return refusal(worker, "old", nowMs);
  }
  if ((order.deadline_ms ?? 0) < nowMs) return refusal(worker, "late", nowMs);
  const specification = order.spec ?? "";
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
  return done(worker, nowMs);
}

/** Ends the runs whose time or lease is over. */
export function endDueRuns(worker: Worker, nowMs: number): void {
  for (const [task, run] of worker.running) {
    if (worker.leaseUntilMs < nowMs) end(worker, task, "lapsed", nowMs);
    else if (run.endsAtMs <= nowMs) end(worker, task, "done", nowMs);
  }
}

function end(worker: Worker, task: string, how: string, nowMs: number): void {
  const run = worker.running.get(task);
  if (run === undefined) return;
  worker.running.delete(task);
  run.record.endedAtMs = nowMs;
  run.record.end = how;
  worker.ends.push([worker.nextEnd++, task, run.attempt, how, ""]);
  close(worker, task, run.attempt);
}

function close(worker: Worker, task: string, attempt: number): void {
  worker.closed.set(task, Math.max(attempt, worker.closed.get(task) ?? 0));
}

function lists(worker: Worker, nowMs: number): object {
  const running = [...worker.running].map(([task, run]) => [
    task,
    run.attempt,
    "",
    percentOf(run, nowMs),
    0,
  ]);
  return {
    clock_ms: nowMs,
    born: worker.bornMs,
    running,
    finished: worker.ends,
  };
}

/** How much of its work a run has done, in percent. */
function percentOf({ endsAtMs, record }: Run, nowMs: number): number {
  const wholeMs = Math.max(1, endsAtMs - record.startedAtMs);
  return Math.floor((nowMs - record.startedAtMs) / wholeMs * FULL_PERCENT);
}

function done(worker: Worker, nowMs: number): StoreAnswer {
  return { status: 200, body: { clock_ms: nowMs, born: worker.bornMs } };
}

function refusal(worker: Worker, reason: string, nowMs: number): StoreAnswer {
  const body = { clock_ms: nowMs, born: worker.bornMs, reason };
  return { status: 409, body };
}
