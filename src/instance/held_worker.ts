import type { Holder } from "../membership/mod.ts";
import type {
  TaskId,
  TaskRecord,
  WorkerAddress,
  WorkerCapacity,
} from "../model/mod.ts";

/** A worker whose lease this instance holds. */
export type HeldWorker = {
  address: WorkerAddress;
  capacity: WorkerCapacity;
  /** The incarnation under which the lease was taken. */
  holder: Holder;
  token: number;
  /** Names the run of the worker's process; it remembers nothing older. */
  boot: string;
  /** Since when the worker remembers tasks (wall clock, ms). */
  rememberedSinceMs: number;
  leaseMs: number;
  /** Until when the lease is sure to last (steady clock, ms). */
  validUntilMs: number;
  /** When the lease has lapsed at the latest (steady clock, ms). */
  lapsesAtMs: number;
  /** Number of the last event that was seen. */
  lastEvent: number;
  /** Everything the worker runs or remembers. */
  records: Map<TaskId, TaskRecord>;
  /** Whether the last renewal was answered. */
  reachable: boolean;
  leaving: boolean;
};
