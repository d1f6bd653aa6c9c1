/** Where one task of a step stands. */
export type TaskState =
  | WaitingTask
  | PlacedTask
  | { kind: "done"; attempt: number; failures: number };

/** A task that waits for a worker. */
export type WaitingTask = {
  kind: "waiting";
  /** The highest attempt number that was ever used; 0 before the first. */
  attempt: number;
  /** How many attempts ended as failed. */
  failures: number;
  checkpoint: string | undefined;
};

/** A task that has room on a worker. */
export type PlacedTask = {
  kind: "placed";
  attempt: number;
  failures: number;
  checkpoint: string | undefined;
  worker: string;
  phase: PlacedPhase;
  /** When the task was placed, on the steady clock. */
  placedAtMs: number;
};

/** How far a placed task has come. */
export type PlacedPhase =
  /** Recorded in the store; no look under this epoch has covered it yet. */
  | { kind: "recorded" }
  /** The start was handed to the driver. */
  | { kind: "starting" }
  | {
    kind: "running";
    /** Share of the work that is done, in percent. */
    percent: number;
    /** When `percent` last changed, on the steady clock. */
    progressAtMs: number;
  }
  /** A stop was ordered; the worker confirmed it at `confirmedAtMs`. */
  | { kind: "stopping"; confirmedAtMs: number | undefined };
