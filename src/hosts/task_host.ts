import type { Result } from "neverthrow";
import type { EndedRun, ListedRun, StartRejection } from "../domain/mod.ts";

/** Why a call to a worker failed, and what is known about its effect. */
export type TaskFault = {
  kind:
    /** The worker has accepted a call with a higher fence. */
    | "fenced"
    /** Another incarnation answers at the address. */
    | "gone"
    /** The call may have taken effect, or may still do so. */
    | "unknown"
    /** The call has not reached the worker. */
    | "unsent"
    /** The worker did not execute the call. */
    | "refused";
  /** The operation that failed, such as `worker.start`. */
  step: string;
  /** The worker's id. */
  peer: string;
  message: string;
  /** Whether the connection was closed after the call had been sent. */
  isClosed?: boolean;
};

/** The address of a worker, and the fence that calls to it carry. */
export type WorkerTarget = {
  id: string;
  /** `IP:port`. */
  address: string;
  /** The worker refuses calls with a lower fence than it has accepted. */
  fence: number;
};

/** Parameters of a poll, which reads a worker's runs and renews its lease. */
export type PollCall = {
  /** The worker may discard ends up to this number. */
  acknowledged: number;
  /** End of the lease on the worker's clock; undefined does not renew it. */
  leaseUntilMs: number | undefined;
  /** How long the worker may wait for a run to end (long poll), in ms. */
  waitMs: number;
};

/** A worker's answer to a poll. */
export type PollAnswer = {
  /** The worker's own clock, in milliseconds. */
  clockMs: number;
  /** Start of the worker's process, in milliseconds since the epoch. */
  bornMs: number;
  running: ListedRun[];
  /** The first ends that have not been acknowledged. */
  ended: EndedRun[];
  /** Whether there may be more of them than are listed. */
  hasMoreEnds?: boolean;
};

/** Parameters of the start of one attempt of a task. */
export type StartCall = {
  task: string;
  attempt: number;
  specification: string;
  /** End of the lease on the worker's clock, in milliseconds. */
  leaseUntilMs: number;
  /** Ticket of the placement policy, if the step needs one. */
  ticket: string | undefined;
  /** Checkpoint from which the attempt resumes. */
  checkpoint: string | undefined;
};

/** A worker's answer to a start. */
export type StartOutcome =
  & (
    | { kind: "accepted" }
    /** This attempt, or a later one, has already ended or been stopped there. */
    | { kind: "superseded" }
    | { kind: "rejected"; cause: StartRejection }
  )
  & {
    /** The worker's own clock, in milliseconds, if the answer shows it. */
    clockMs?: number;
  };

/** Calls to workers, which run tasks under a lease and an owner's epoch. */
export type TaskHost = {
  poll(
    target: WorkerTarget,
    call: PollCall,
    signal: AbortSignal,
  ): Promise<Result<PollAnswer, TaskFault>>;
  start(
    target: WorkerTarget,
    call: StartCall,
    signal: AbortSignal,
  ): Promise<Result<StartOutcome, TaskFault>>;
  stop(
    target: WorkerTarget,
    task: string,
    attempt: number,
    signal: AbortSignal,
  ): Promise<Result<void, TaskFault>>;
  /** Sets the speed of a running attempt, in percent of its full speed. */
  pace(
    target: WorkerTarget,
    task: string,
    attempt: number,
    percent: number,
    signal: AbortSignal,
  ): Promise<Result<void, TaskFault>>;
};
