/**
 * Silent restarts of a worker: it crashes, and starts again some time later under
 * its id and address, with a new clock and without any run, end or fence.
 *
 * @module
 */
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { StandInResponse } from "./store.ts";
import {
  createWorker,
  endDueRuns,
  findRunRecord,
  type Worker,
} from "./worker.ts";

/** The largest clock reading of a restarted worker at its start, in ms. */
const MAX_CLOCK_START_MS = 10_000_000;

/** How long a worker is down that a task has crashed, in milliseconds. */
const DOWN_AFTER_DEADLY_START_MS = 300;

/** The process of a worker, which may be restarted. */
export type WorkerProcess = {
  /** The present incarnation; the former one while it is down. */
  worker: Worker;
  /** Resolves once it is up again; undefined while it is up. */
  restart: Promise<void> | undefined;
  /** The incarnation that each connection was opened to. */
  connections: WeakMap<Socket, Worker>;
  /** Called with each new incarnation. */
  onRestarted(worker: Worker): void;
};

/** Crashes a worker, and starts its next incarnation after a delay in ms. */
export async function restartWorker(
  workerProcess: WorkerProcess,
  downMs: number,
): Promise<void> {
  if (workerProcess.restart !== undefined) return;
  crash(workerProcess.worker, Date.now());
  workerProcess.restart = delay(downMs).then(() => {
    const { id, durationMs, isDeadly, maxLeaseMs, started } =
      workerProcess.worker;
    const clockStartMs = Math.floor(Math.random() * MAX_CLOCK_START_MS);
    const timing = { clockStartMs, maxLeaseMs };
    const next = createWorker(id, durationMs, Date.now(), isDeadly, timing);
    next.started = started;
    workerProcess.worker = next;
    workerProcess.restart = undefined;
    workerProcess.onRestarted(next);
  });
  await workerProcess.restart;
}

/** Ends everything that a worker runs; unacknowledged ends are lost. */
function crash(worker: Worker, nowMs: number): void {
  endDueRuns(worker, nowMs);
  for (const { record } of worker.running.values()) {
    record.endedAtMs = nowMs;
    record.end = "crashed";
  }
  worker.running.clear();
  for (const [, task, attempt] of worker.endedRuns) {
    const record = findRunRecord(worker, task, attempt);
    if (record !== undefined) record.mayBeUnread = true;
  }
  worker.endedRuns = [];
}

/**
 * Carries a call out. One that arrived while the worker was down, or over a
 * connection to its former incarnation, is carried out by the next one, which
 * breaks the connection without an answer.
 */
export async function carryOut(
  workerProcess: WorkerProcess,
  socket: Socket,
  handle: (worker: Worker) => Promise<StandInResponse>,
): Promise<StandInResponse | undefined> {
  const { connections } = workerProcess;
  const isHeldUp = workerProcess.restart !== undefined;
  if (!connections.has(socket)) connections.set(socket, workerProcess.worker);
  await workerProcess.restart;
  const { worker } = workerProcess;
  const response = await handle(worker);
  if (worker.hasCrashed && workerProcess.worker === worker) {
    restartWorker(workerProcess, DOWN_AFTER_DEADLY_START_MS);
    socket.destroy();
    return undefined;
  }
  if (isHeldUp || connections.get(socket) !== worker) {
    socket.destroy();
    return undefined;
  }
  const hasCrashed = workerProcess.worker !== worker ||
    workerProcess.restart !== undefined;
  return hasCrashed ? undefined : response;
}
