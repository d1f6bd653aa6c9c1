import type { Holder } from "../membership/mod.ts";
import type { Outcome, Request, Task, TaskOutcome } from "../model/mod.ts";

/** How far a task has come, as this instance knows it. */
export type Progress =
  /** Waits in the placement core; no start was sent. */
  | { kind: "queued" }
  /** A start was sent and may have arrived. */
  | { kind: "starting"; worker: string; token: number }
  | { kind: "running"; worker: string; token: number }
  /** Placed on a worker that this instance no longer holds. */
  | {
    kind: "away";
    worker: string;
    token: number;
    /** The run of the worker's process that the task was sent to. */
    boot: string;
    /** Since when the task is away (steady clock, ms). */
    sinceMs: number;
    /** When the lease of that time lapses at the latest (steady, ms). */
    lapsesAtMs: number;
    /** Whether a record of the run was seen. */
    seen: boolean;
  }
  /** Handed to a peer, which starts it for us. */
  | { kind: "moved"; guest: Holder }
  | { kind: "ended"; outcome: TaskOutcome }
  /** Handed back to its home unstarted. */
  | { kind: "returned" };

/** A task of a request, and how far it has come. */
export type TaskEntry = {
  task: Task;
  progress: Progress;
  /** The worker on which the current attempt is known to have started. */
  startedOn: string | undefined;
  /** Number of the move by which a home sent it, or a guest got it. */
  moveEpoch: number;
  /** Index of the replica that this task takes the place of. */
  replaces?: number;
  /** Index of the task that takes the place of this replica. */
  successor?: number;
};

/** What this instance is to a request. */
export type Role =
  /** It answers for the request. */
  | "home"
  /** It starts tasks for the home. */
  | "guest";

/** Where an accepted request is kept besides its home. */
export type Durability = "log" | "peer" | "none";

/** A request that this instance is the home or a guest of. */
export type RequestEntry = {
  request: Request;
  role: Role;
  /** The incarnation that answers for the request. */
  home: Holder;
  durability: Durability;
  /** By index; a guest has only the tasks that were moved to it. */
  tasks: Map<number, TaskEntry>;
  cancelled: boolean;
  /** When tasks were last moved to a peer (steady clock, ms). */
  movedAtMs: number | undefined;
  /** Number of the latest move; each task has that of its own. */
  moveEpoch: number;
  /** Number of the diagnostic that says why its first task did not run. */
  refusalCode?: number;
  /** The final outcome. */
  outcome: Outcome | undefined;
  /** When the outcome became final (steady clock, ms). */
  endedAtMs: number | undefined;
};
