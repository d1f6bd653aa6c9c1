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
  /** The task waits while a peer may have room; the driver may move it. */
  | { kind: "offload"; requestId: string; taskIds: string[] };
