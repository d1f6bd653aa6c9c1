import type { Resources } from "../model/mod.ts";

/** A worker as described by the platform's worker list. */
export type WorkerListing = {
  id: string;
  service: string;
  /** `IP:port` of the worker's interface. */
  address: string;
  zone: string;
  rack: string;
  labels: string[];
  capacity: Resources;
  /** Whether the worker is being drained and accepts no new tasks. */
  draining: boolean;
  /** When the worker's process started, in milliseconds since the epoch. */
  bornMs: number;
};
