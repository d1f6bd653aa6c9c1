/** The state of one task of a step. */
export type TaskState =
  | WaitingTask
  | PlacedTask
  | { kind: "done"; attempt: number; failures: number };

/** A task that waits to be placed on a worker. */
export type WaitingTask = {
  kind: "waiting";
  /** The highest attempt number used so far; 0 before the first attempt. */
  attempt: number;
  /** Number of attempts that failed. */
  failures: number;
  checkpoint: string | undefined;
};

/** A task with capacity allocated on a worker. */
export type PlacedTask = {
  kind: "placed";
  attempt: number;
  failures: number;
  checkpoint: string | undefined;
  worker: string;
  /** The incarnation of the worker, as known then; 0 if it is unknown. */
  bornMs: number;
  phase: PlacedPhase;
  /** When the task was placed, on the steady clock. */
  placedAtMs: number;
};

/** The phase of a placed task, as far as the owner knows. */
export type PlacedPhase =
  /**
   * Restored from the store; the worker has not reported under this epoch yet.
   */
  | { kind: "recorded" }
  /** The start order was passed to the driver. */
  | { kind: "starting" }
  | {
    kind: "running";
    /** Completed share of the work, in percent. */
    percent: number;
    /** When `percent` last changed, on the steady clock. */
    progressAtMs: number;
  }
  /**
   * A stop was ordered. From `confirmedAtMs` on, on the steady clock, the worker
   * does not begin the attempt: it has answered the stop, or rejects the start
   * as expired.
   */
  | { kind: "stopping"; confirmedAtMs: number | undefined };
