import type { Resources } from "../model/mod.ts";
import type { StepRun } from "./step_run.ts";
import type { WorkerListing } from "./worker_listing.ts";

/** A worker of the domain with what it holds. */
export type DomainWorker = {
  id: string;
  /** Absent while the list does not show the worker. */
  listing: WorkerListing | undefined;
  /** Whether a look under this epoch has succeeded. */
  isReachable: boolean;
  /** When its link was opened anew, until the first look since (steady). */
  linkReopenedAtMs: number | undefined;
  /** Start of the incarnation that was seen last; 0 before the first look. */
  bornMs: number;
  /** Number of the last end that was taken in; restarts with the worker. */
  lastEnd: number;
  capacity: Resources;
  used: Resources;
  /** Processor time that opportunistic tasks ask for, in millicores. */
  opportunisticCpuMillis: number;
  /** The domain's sums of the room that tasks hold, by agreement. */
  reservedByAgreement: Map<string, Resources>;
  /** Placed tasks by name. */
  placed: Map<string, PlacedTaskRef>;
  health: WorkerHealth;
  /**
   * How much waiting work depends on this worker: for each step, the share of
   * the worker that it needs over the number of workers that may run it.
   */
  demandPressure: number;
};

/** Points at a placed task. */
export type PlacedTaskRef = {
  run: StepRun;
  index: number;
  reserved: Resources;
  /** Share of its speed that the task was last paced to, in percent. */
  pacedToPercent: number;
  /** Tail latency in ms for a service; processor use for anything else. */
  reading: number;
};

/** What a worker's behaviour says about it. */
export type WorkerHealth = {
  consecutiveFailures: number;
  /** Nothing is placed before this time, on the steady clock. */
  avoidUntilMs: number;
  /** Duration of tasks against the mean of their queues; 1 is the mean. */
  slowdown: number;
};
