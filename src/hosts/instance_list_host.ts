import type { Result } from "neverthrow";
import type { WorkerAddress } from "../model/mod.ts";
import type { Fault } from "./fault.ts";

/** An entry instance as the platform lists it. */
export type ListedInstance = {
  id: string;
  zone: string;
  region: string;
  url: string;
  leaving: boolean;
};

/** A worker as the platform lists it. */
export type ListedWorker = WorkerAddress & { leaving: boolean };

/** The platform's list of live and leaving instances; it lags. */
export type InstanceList = {
  /** When the list was true, in milliseconds since the epoch. */
  asOfMs: number;
  instances: ListedInstance[];
  workers: ListedWorker[];
};

/** The platform's instance list service. */
export type InstanceListHost = {
  read(signal: AbortSignal): Promise<Result<InstanceList, Fault>>;
};
