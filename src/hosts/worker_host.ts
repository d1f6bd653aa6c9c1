import type { Result } from "neverthrow";
import type {
  Acquisition,
  Renewal,
  Task,
  TaskId,
  TaskRecord,
  WorkerAddress,
} from "../model/mod.ts";
import type { Fault } from "./fault.ts";

/** Asks a worker for its lease. */
export type AcquireCommand = {
  /** `instance/incarnation` of the instance that asks. */
  holder: string;
  /** The token that the caller believes is current; 0 for a new worker. */
  expectedToken: number;
  /** Holders that the worker must refuse from now on, in any command. */
  barred: string[];
};

/** Data of a refused acquisition: who holds the worker now. */
export type CurrentLease = {
  token: number;
  /** The holder, or the empty string where nobody holds the worker. */
  holder: string;
  /** Whether the lease has lapsed. */
  lapsed: boolean;
};

/** Extends a lease and waits for changes. */
export type RenewCommand = {
  token: number;
  /** Number of the last event seen. */
  afterEvent: number;
  /** How long the worker may hold the answer back, in milliseconds. */
  waitMs: number;
  /** Holders that the worker must refuse from now on, in any command. */
  barred: string[];
};

/** The ways in which a worker gives way to more urgent work. */
export type Yielding = "checkpoint" | "throttle" | "stop";

/** The workers, reached by commands that carry a fencing token. */
export type WorkerHost = {
  /**
   * Takes the lease if the expected token is the current one. A refusal
   * carries a {@linkcode CurrentLease} as its data.
   */
  acquire(
    worker: WorkerAddress,
    command: AcquireCommand,
    signal: AbortSignal,
  ): Promise<Result<Acquisition, Fault>>;
  renew(
    worker: WorkerAddress,
    command: RenewCommand,
    signal: AbortSignal,
  ): Promise<Result<Renewal, Fault>>;
  release(
    worker: WorkerAddress,
    token: number,
    signal: AbortSignal,
  ): Promise<Result<void, Fault>>;
  /** Starts a task; a repeat under the same task id returns its record. */
  start(
    worker: WorkerAddress,
    token: number,
    task: Task,
    signal: AbortSignal,
  ): Promise<Result<TaskRecord, Fault>>;
  /**
   * Makes a task give way. A stop of a task that the worker has never seen
   * makes it refuse that task id for good, under any token.
   */
  yieldTask(
    worker: WorkerAddress,
    token: number,
    taskId: TaskId,
    yielding: Yielding,
    signal: AbortSignal,
  ): Promise<Result<TaskRecord | undefined, Fault>>;
};
