/**
 * Typed effects: each function yields one effect and returns its result.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import type {
  AcquireCommand,
  Fault,
  InstanceList,
  LogPage,
  RenewCommand,
  Yielding,
} from "../hosts/mod.ts";
import type { LogRecord } from "../log_state/mod.ts";
import type {
  Acquisition,
  Renewal,
  Task,
  TaskId,
  TaskRecord,
  WorkerAddress,
} from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import type { PeerMessage } from "./peer_message.ts";
import { notify, type Runner, spawn } from "./runner.ts";

/** Waits for a delay in milliseconds. */
export function* sleep(delayMs: number): Flow<void> {
  yield { kind: "sleep", delayMs };
}

/** Waits for a notice; returns whether it came before the time-out. */
export function* waitForNotice(
  topic: string,
  timeoutMs: number,
): Flow<boolean> {
  return (yield { kind: "notice", topic, timeoutMs }) === true;
}

/** Asks a worker for its lease. */
export function* acquireWorker(
  worker: WorkerAddress,
  command: AcquireCommand,
): Flow<Result<Acquisition, Fault>> {
  const result = yield { kind: "acquire", worker, command };
  return result as Result<Acquisition, Fault>;
}

/** Renews a worker's lease. */
export function* renewWorker(
  worker: WorkerAddress,
  command: RenewCommand,
): Flow<Result<Renewal, Fault>> {
  const result = yield { kind: "renew", worker, command };
  return result as Result<Renewal, Fault>;
}

/** Sends a start command to a worker. */
export function* startTask(
  worker: WorkerAddress,
  token: number,
  task: Task,
): Flow<Result<TaskRecord, Fault>> {
  const result = yield { kind: "start", worker, token, task };
  return result as Result<TaskRecord, Fault>;
}

/** Makes a task on a worker give way. */
export function* yieldTask(
  worker: WorkerAddress,
  token: number,
  taskId: TaskId,
  yielding: Yielding,
): Flow<Result<TaskRecord | undefined, Fault>> {
  const result = yield { kind: "yield", worker, token, taskId, yielding };
  return result as Result<TaskRecord | undefined, Fault>;
}

/** Appends a record to the log. */
export function* appendRecord(
  record: LogRecord,
): Flow<Result<number, Fault>> {
  return (yield { kind: "append", record }) as Result<number, Fault>;
}

/** Reads the log from an offset. */
export function* readLog(
  fromOffset: number,
  waitMs: number,
): Flow<Result<LogPage, Fault>> {
  const result = yield { kind: "readLog", fromOffset, waitMs };
  return result as Result<LogPage, Fault>;
}

/** Reads the platform's instance list. */
export function* readList(): Flow<Result<InstanceList, Fault>> {
  return (yield { kind: "readList" }) as Result<InstanceList, Fault>;
}

/**
 * Calls a peer and checks its answer against a schema.
 *
 * @returns the answer, or the fault; an answer that does not match the schema
 * is a fault of unknown effect
 */
export function* callPeer<T>(
  url: string,
  message: PeerMessage,
  answerSchema: v.GenericSchema<unknown, T>,
  timeoutMs: number,
): Flow<Result<T, Fault>> {
  const result = (yield {
    kind: "peer",
    url,
    message,
    timeoutMs,
  }) as Result<unknown, Fault>;
  if (result.isErr()) return err(result.error);
  const parsed = v.safeParse(answerSchema, result.value);
  if (parsed.success) return ok(parsed.output);
  const cause = parsed.issues[0].message;
  return err({
    kind: "unknown",
    code: diagnostics.answerInvalid.code,
    step: `peer.${message.kind}`,
    peer: url,
    message: formatDiagnostic(diagnostics.answerInvalid, url, cause),
  });
}

/**
 * Runs flows side by side and waits for all of them.
 *
 * @returns the results, in the order of the flows
 */
export function* gather<T>(
  runner: Runner,
  flows: Flow<T>[],
): Flow<T[]> {
  if (flows.length === 0) return [];
  const results = new Map<number, T>();
  const topic = `gather:${runner.nextNumber++}`;
  flows.forEach((flow, index) => {
    spawn(runner, collect(runner, flow, results, index, flows.length, topic));
  });
  while (results.size < flows.length) {
    yield* waitForNotice(topic, GATHER_TIMEOUT_MS);
  }
  return flows.map((_, index) => results.get(index)!);
}

const GATHER_TIMEOUT_MS = 60_000;

function* collect<T>(
  runner: Runner,
  flow: Flow<T>,
  results: Map<number, T>,
  index: number,
  count: number,
  topic: string,
): Flow<void> {
  results.set(index, yield* flow);
  if (results.size === count) notify(runner, topic);
}
