import type { Resources, WorkerAddress, WorkerCapacity } from "../model/mod.ts";
import type { Hold } from "./hold.ts";
import type { CheckpointedTask, PlacedTask } from "./task_entry.ts";
import type { WorkerHealth } from "./worker_health.ts";

/** A worker that this instance owns, with what it holds. */
export type WorkerState = {
  id: string;
  address: WorkerAddress;
  capacity: WorkerCapacity;
  token: number;
  /** Room that no task holds; below zero after a careless predecessor. */
  free: Resources;
  freeSlots: number;
  placed: Map<string, PlacedTask>;
  /** Tasks that wait at a checkpoint here. */
  checkpointed: Map<string, CheckpointedTask>;
  /** The group for which the worker is kept. */
  hold: Hold | undefined;
  leaving: boolean;
  reachable: boolean;
  /** Whether the worker refused the token; a peer may hold it now. */
  stale: boolean;
  health: WorkerHealth;
  /** Whether the worker takes nothing for a moment. */
  paused: boolean;
  /** Position in the index of free room. */
  leaf: number;
};
