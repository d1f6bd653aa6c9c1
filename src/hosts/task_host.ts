import type { Result } from "neverthrow";
import type { EndedRun, ListedRun, StartRejection } from "../domain/mod.ts";

/** Why a call to a worker failed, and what is known of its effect. */
export type TaskFault = {
  kind:
    /** The worker follows an owner with a higher epoch. */
    | "fenced"
    /** Another incarnation answers at the address. */
    | "gone"
    /** The call may have taken effect, or may yet. */
    | "unknown"
    /** The worker did nothing. */
    | "refused";
  /** What was being done, such as `worker.start`. */
  step: string;
  /** The worker's id. */
  peer: string;
  message: string;
};

/** Where a worker is reached, and under which epoch. */
export type WorkerTarget = {
  id: string;
  /** `IP:port`. */
  address: string;
  epoch: number;
};

/** Asks a worker for what it runs, and prolongs its lease. */
export type LookCall = {
  /** Ends up to this number may be forgotten. */
  acknowledged: number;
  /** End of the lease on the worker's clock; undefined leaves it. */
  leaseUntilMs: number | undefined;
  /** How long the worker may wait for an end, in milliseconds. */
  waitMs: number;
};

/** What a worker answers to a look. */
export type LookAnswer = {
  /** The worker's own clock, in milliseconds. */
  clockMs: number;
  bornMs: number;
  running: ListedRun[];
  ended: EndedRun[];
};

/** Starts one attempt of a task. */
export type StartCall = {
  task: string;
  attempt: number;
  specification: string;
  leaseUntilMs: number;
  ticket: string | undefined;
  checkpoint: string | undefined;
};

/** How a worker took a start that reached it. */
export type StartOutcome =
  | { kind: "accepted" }
  | { kind: "superseded" }
  | { kind: "rejected"; cause: StartRejection };

/** The workers, which run tasks under a lease and an epoch. */
export type TaskHost = {
  look(
    target: WorkerTarget,
    call: LookCall,
    signal: AbortSignal,
  ): Promise<Result<LookAnswer, TaskFault>>;
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
  pace(
    target: WorkerTarget,
    task: string,
    attempt: number,
    percent: number,
    signal: AbortSignal,
  ): Promise<Result<void, TaskFault>>;
};
