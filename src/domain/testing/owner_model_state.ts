import type { Worker } from "../../../stand_ins/platform/worker.ts";
import type { Randomness } from "../../hosts/mod.ts";
import type { DomainCommand, WorkerOrder } from "../domain_command.ts";
import type { Step } from "../job.ts";
import type { DomainRecord } from "../records.ts";
import type { DomainBench } from "./domain_bench.ts";
import type { SimulatedCapacity } from "./owner_model_capacity.ts";
import type { SimulatedListing } from "./owner_model_listing.ts";

/** A simulated worker with the owner's state about it. */
export type SimulatedWorker = {
  worker: Worker;
  /** Whether the network between owner and worker is down. */
  isPartitioned: boolean;
  /** Whether it answers polls, but no orders. */
  ignoresOrders: boolean;
  /** Tasks under which it has crashed since its last poll. */
  crashedTasks: Set<string> | undefined;
  /** The kind of its incarnation, which is one of its labels. */
  kind: string;
  capacity: SimulatedCapacity;
  listing: SimulatedListing;
  /** The last incarnation of which an owner has been told. */
  noticedBornMs: number;
  /** Whether it has reported over its present link. */
  hasReported: boolean;
  /** Starts that were sent over that link and have no answer. */
  unansweredStarts: Set<WorkerOrder>;
  /** The tasks among them whose start its link knows to have reached it. */
  reachedStarts: Set<string>;
  /** Number of the last end that the owner has acknowledged. */
  acknowledged: number;
  /** Expiry of the last lease granted to it. */
  leaseUntilMs: number;
  /** Numbers of ends from before its lease expired; they no longer count. */
  endsBeforeExpiry: Set<number>;
};

/** An order in flight to a worker. */
export type PendingOrder = {
  order: WorkerOrder;
  epoch: number;
  dueAtMs: number;
  /** Expiry of the lease that a start grants. */
  deadlineMs: number;
  /** The worker's incarnation that it was sent to; no other one accepts it. */
  bornMs: number;
  /** Whether its owner had been told of that incarnation. */
  isInformed: boolean;
  /** Whether it has left the link, which keeps it while the worker is silent. */
  isSent: boolean;
  /** A second delivery, which the owner does not know of. */
  isDuplicate: boolean;
  /** Its link was replaced, so that the answer is lost. */
  isLinkLost: boolean;
  /** Whether the worker executes it without an answer. */
  isExecutedUnanswered: boolean;
  /** When the first copy of it was sent. */
  firstSentAtMs: number;
  /** How many copies of it were sent. */
  tries: number;
};

/** A failed run as its worker listed it. */
export type FailedRun = {
  worker: string;
  bornMs: number;
  number: number;
  attempt: number;
  /** Whether its end was acknowledged in time. */
  isAcknowledged: boolean;
};

/** An append, and the commands that follow it. */
export type PendingCommit = {
  records: DomainRecord[];
  commands: DomainCommand[];
  /** When the store answers. */
  dueAtMs: number;
};

/** The state of a running simulation. */
export type Model = {
  bench: DomainBench;
  random: Randomness;
  /**
   * Whether a worker that starts again may be of another kind and have another
   * capacity, and entries of the list come late.
   */
  hasChangingKinds: boolean;
  epoch: number;
  /** Whether the faults are over, but for workers that ignore orders. */
  isRecovering: boolean;
  workers: Map<string, SimulatedWorker>;
  orders: PendingOrder[];
  /** When the lease of the last copy of the start of an attempt expires. */
  startExpiries: Map<string, number>;
  jobs: string[];
  /** Tasks whose end as done has been acknowledged. */
  acknowledgedDone: Set<string>;
  /** Steps without predecessors, by job. */
  firstSteps: Map<string, Step>;
  /** The job that each call submitted. */
  calls: Map<number, string>;
  /** Jobs whose submission was answered. */
  acceptedJobs: Set<string>;
  /** Jobs that were seen in a final state after the faults. */
  endedJobs: Set<string>;
  /** Tasks of which a worker has completed a run. */
  doneTasks: Set<string>;
  /** The worker on which each attempt started. */
  startedAttempts: Map<string, string>;
  /** The runs that failed, by task. */
  failedRuns: Map<string, FailedRun[]>;
  /** The runs of a task that had failed when it was started again. */
  restarts: { task: string; failed: FailedRun[] }[];
  /** The appends that the store has not answered, in order. */
  commits: PendingCommit[];
  /** Commands that wait for the next commit. */
  pendingCommands: DomainCommand[];
  /** Tasks that crash each worker that starts them. */
  deadlyTasks: Set<string>;
  /** How often each of them was started. */
  deadlyStarts: Map<string, number>;
  /** How many workers have crashed under a task, or may have for its owner. */
  crashCounts: Map<string, number>;
  /** Executes commands of the domain. */
  execute(commands: DomainCommand[]): void;
  /** Descriptions of violated invariants. */
  violations: string[];
  /** Descriptions of starts on a worker that had no room or was of another kind. */
  unsuitableStarts: string[];
};
