import type {
  Manifest,
  Request,
  Resources,
  Task,
  TaskRecord,
  WorkerAddress,
  WorkerCapacity,
} from "../model/mod.ts";
import type { Shape } from "./shape.ts";

/** Why an instance no longer places on a worker. */
export type WorkerLoss =
  /** Handed over in a planned way; its tasks go on under another owner. */
  | "released"
  /** Taken over by another instance; its tasks go on. */
  | "fenced"
  /** The lease has surely lapsed; the worker stopped what it ran. */
  | "lapsed";

/** Why a worker did not start a task. The task surely did not start. */
export type StartRefusal = "capacity" | "stale" | "leaving" | "invalid";

/** What happens to the placement core. */
export type PlacementEvent =
  | {
    /** A worker was acquired, with whatever it runs and remembers. */
    kind: "workerJoined";
    worker: WorkerAddress;
    capacity: WorkerCapacity;
    token: number;
    records: TaskRecord[];
  }
  | { kind: "workerLost"; worker: string; loss: WorkerLoss }
  /** The worker takes nothing new; services on it need a successor. */
  | { kind: "workerLeaving"; worker: string }
  /** A worker may be used again after it was reported unreachable. */
  | { kind: "workerReachable"; worker: string; reachable: boolean }
  /** Tasks of one request to be placed; all share one policy. */
  | { kind: "submitted"; request: Request; tasks: Task[] }
  | { kind: "startConfirmed"; worker: string; taskId: string }
  | {
    kind: "startRefused";
    worker: string;
    taskId: string;
    refusal: StartRefusal;
  }
  /** A task changed its state on a worker; the record is the truth. */
  | { kind: "taskChanged"; worker: string; record: TaskRecord }
  /** Forget tasks that are queued, and stop those that run. */
  | { kind: "withdrawn"; taskIds: string[] }
  /**
   * All workers that peers own, by capacity. Nothing is refused as unrunnable
   * before the driver has told of them; an empty list says that there are
   * none.
   */
  | { kind: "peersKnown"; shapes: Shape[] }
  | { kind: "manifestChanged"; manifest: Manifest }
  /** The part of each agreement's share that this instance may use. */
  | { kind: "sharesCut"; shares: Map<string, Resources> }
  | { kind: "ticked" };
