import type { Task } from "../model/mod.ts";
import type { Yielding } from "../hosts/mod.ts";

/** What the placement core asks its driver to do. */
export type PlacementCommand =
  | { kind: "start"; worker: string; token: number; task: Task }
  | {
    kind: "yield";
    worker: string;
    token: number;
    taskId: string;
    yielding: Yielding;
  }
  /** The task can never run here, or its start deadline has passed. */
  | { kind: "refuse"; taskId: string; code: number; cause: string }
  /**
   * A replica of an idempotent service runs on a worker that is leaving. The
   * driver submits a successor under a new task id of the same request, and
   * withdraws this task once the successor's start is confirmed.
   */
  | { kind: "replace"; worker: string; task: Task }
  /** The task waits while a peer may have room; the driver may move it. */
  | { kind: "offload"; requestId: string; taskIds: string[] };
