import type { Resources } from "../model/mod.ts";
import type { StepRun } from "./step_run.ts";
import type { WorkerListing } from "./worker_listing.ts";

/** Allocations on all workers of a domain. */
export type AllocationTotals = {
  allocatedByAgreement: Map<string, Resources>;
  allocatedByAccount: Map<string, Resources>;
};

/** A worker of the domain with its placed tasks and their allocations. */
export type DomainWorker = {
  id: string;
  /** Size of its id in records, in bytes. */
  idBytes: number;
  /** Its entry in the list of workers; undefined while it is not listed. */
  listing: WorkerListing | undefined;
  /** The same, kept while it is not listed any more. */
  lastListing: WorkerListing | undefined;
  /** Whether it has reported under this epoch and answered since. */
  isReachable: boolean;
  /** When its link was replaced, until its next report (steady clock). */
  linkReopenedAtMs: number | undefined;
  /** Start of the last reported incarnation; 0 before the first report. */
  bornMs: number;
  /** Start of the incarnation that had reported before it; 0 if none had. */
  formerBornMs: number;
  /** Number of the last end that was applied; 0 after a restart. */
  lastEnd: number;
  capacity: Resources;
  used: Resources;
  /** Processor demand of its opportunistic tasks, in millicores. */
  opportunisticCpuMillis: number;
  /** The domain's totals of allocations, shared by all its workers. */
  totals: AllocationTotals;
  /** Speeds of its opportunistic tasks, while it runs services. */
  sourceSpeeds: SourceSpeeds;
  /** Placed tasks by name. */
  placed: Map<string, PlacedTaskRef>;
  /** Names of its unsettled tasks that have crashed a worker before. */
  suspects: Set<string>;
  /** Tasks that had just started when its lease expired. */
  lapsedStarts: UnsettledTask[];
  health: WorkerHealth;
  /**
   * Demand of the waiting steps for this worker: the sum over the steps of the
   * share of the worker that they need, divided by the number of workers that
   * may run them.
   */
  demandPressure: number;
};

/**
 * Speeds of opportunistic tasks by image: the sum over the tasks, 1 for one at
 * full speed.
 */
export type SourceSpeeds = {
  /** When they were last updated, on the steady clock. */
  atMs: number;
  last: Map<string, number>;
  /** Averages over the time that a latency reading covers. */
  averages: Map<string, number>;
};

/** Reference to a task of a step. */
export type TaskRef = { run: StepRun; index: number };

/** A task whose start its worker may not have survived. */
export type UnsettledTask = TaskRef & {
  /** The incarnation that was to start it; 0 if it is unknown. */
  bornMs: number;
  /** Whether that one had perhaps ended before the start reached it. */
  isDoubtful: boolean;
};

/** Reference to a placed task, with its allocation on the worker. */
export type PlacedTaskRef = TaskRef & {
  allocated: Resources;
  /** Speed that the task was last ordered to run at, in percent. */
  pacedToPercent: number;
  /** Whether no earlier owner may have ordered another speed. */
  isPaceKnown: boolean;
  /** Tail latency in ms for a service; processor usage for other tasks. */
  reading: number;
  /**
   * When the tail latency of a service was last learned from (steady clock), and
   * by how much it differed from the expected one, as the logarithm of a factor.
   */
  latencySample: { atMs: number; deviation: number } | undefined;
  /** When it was first known to run, on the steady clock. */
  runningSinceMs: number | undefined;
  /** Whether the worker has survived its start; see `worker_crash.ts`. */
  isSettled: boolean;
  /**
   * The attempt whose start may be in flight although the task was completed by
   * an earlier attempt, and when its stop was confirmed (steady clock).
   */
  abandonedStart:
    | { attempt: number; stoppedAtMs: number | undefined }
    | undefined;
};

/** Health of a worker, derived from how its tasks ran. */
export type WorkerHealth = {
  consecutiveFailures: number;
  /** Nothing is placed before this time, on the steady clock. */
  avoidUntilMs: number;
  /** End of its probation after a quarantine, on the steady clock. */
  probationUntilMs: number;
  /** Moving average of task duration over the queue's mean; 1 is average. */
  slowdown: number;
};
