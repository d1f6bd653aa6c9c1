import type { Resources } from "../model/mod.ts";

/** A worker as the platform's list shows it. */
export type WorkerListing = {
  id: string;
  service: string;
  /** `IP:port` of the worker's interface. */
  address: string;
  zone: string;
  rack: string;
  labels: string[];
  capacity: Resources;
  /** Whether the worker is about to leave and takes nothing new. */
  draining: boolean;
  /** When the worker's process started, in milliseconds since the epoch. */
  bornMs: number;
};
