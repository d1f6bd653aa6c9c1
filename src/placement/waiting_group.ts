import type { Policy } from "../model/mod.ts";
import type { Hold } from "./hold.ts";
import type { Lane } from "./lane.ts";
import type { QueuedTask } from "./task_entry.ts";

/** The tasks of one request that wait together. */
export type WaitingGroup = {
  requestId: string;
  agreement: string;
  policy: Policy;
  urgency: number;
  /** Since when the group waits, in milliseconds. */
  queuedAtMs: number;
  /** When the tasks must have started, in milliseconds. */
  startByMs: number | undefined;
  /** Tasks in order; some may have been placed or withdrawn since. */
  tasks: QueuedTask[];
  /** How many of the tasks still wait. */
  waiting: number;
  /** Position of the first task that may still wait. */
  next: number;
  lane: Lane;
  /** The workers that are kept for the group. */
  hold: Hold | undefined;
  /** How often a hold of the group expired. */
  holdsLost: number;
  /** Whether the group stands in its lane. */
  listed: boolean;
  /** When the driver was last asked to move the group, in milliseconds. */
  offloadedAtMs: number | undefined;
};
