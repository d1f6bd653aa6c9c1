import type { DomainWorker } from "./domain_worker.ts";

/** Capacity for one task on a worker, free now or expected to be later. */
export type TaskSlot = {
  worker: DomainWorker;
  /** Whether it is free now, whatever is expected of the tasks that run. */
  isFree: boolean;
  /** When the capacity is expected to be free, on the steady clock. */
  freeAtMs: number;
};
