import type { Worker } from "../../../stand_ins/platform/worker.ts";
import type { Randomness } from "../../hosts/mod.ts";
import type { WorkerOrder } from "../domain_command.ts";
import type { DomainBench } from "./domain_bench.ts";

/** A worker with what an owner knows of it. */
export type ModelWorker = {
  worker: Worker;
  isCut: boolean;
  acknowledged: number;
  /** When the last lease granted to it lapses. */
  leaseUntilMs: number;
  /** Ends before a lapse of the lease; they count for nobody any more. */
  lapsedEnds: Set<number>;
};

/** An order on its way to a worker. */
export type PendingOrder = {
  order: WorkerOrder;
  epoch: number;
  dueAtMs: number;
  /** End of the lease that a start carries. */
  deadlineMs: number;
  /** The incarnation to which it was sent; it dies with that one. */
  bornMs: number;
  /** A second arrival, which the owner does not know of. */
  isCopy: boolean;
  /** The link on which it left is gone, and so is the answer. */
  isOrphaned: boolean;
};

/** A running model. */
export type Model = {
  bench: DomainBench;
  random: Randomness;
  epoch: number;
  workers: Map<string, ModelWorker>;
  orders: PendingOrder[];
  jobs: string[];
  /** Tasks whose end as done was acknowledged. */
  noted: Set<string>;
  /** Broken promises, in words. */
  broken: string[];
};
