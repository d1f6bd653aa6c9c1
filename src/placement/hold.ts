import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/**
 * Workers that are kept for one waiting group until it has started or the
 * hold expires. A worker has one hold at most, and a group takes all of its
 * workers in one step, so that no hold ever waits for another.
 */
export type Hold = {
  group: WaitingGroup;
  /** How many tasks of the group each worker is kept for. */
  workers: Map<WorkerState, number>;
  /** When the workers are expected to have the room, in milliseconds. */
  startsAtMs: number;
  /** When the hold ends without a start, in milliseconds. */
  untilMs: number;
};
