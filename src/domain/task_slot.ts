import type { DomainWorker } from "./domain_worker.ts";

/** Room for one task on a worker, now or later. */
export type TaskSlot = {
  worker: DomainWorker;
  /** When the room is expected to be free, on the steady clock. */
  freeAtMs: number;
};
