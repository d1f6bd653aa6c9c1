import type { ClientAccount, Resources } from "../model/mod.ts";
import type { JobRequest, QueuePolicy } from "./job.ts";
import type { OwnerEntry } from "./owner_entry.ts";
import type { StartAnswer, WorkerReport } from "./worker_report.ts";
import type { WorkerListing } from "./worker_listing.ts";

/** An input to a domain. */
export type DomainEvent =
  /** The store has not answered for a while, or answers again. */
  | { kind: "storeObserved"; isSilent: boolean }
  | {
    kind: "submitted";
    call: number;
    request: JobRequest;
    policy: QueuePolicy;
    /** Whether the caller understands the answer `overloaded`. */
    mayRefuse?: boolean | undefined;
  }
  | { kind: "cancelled"; call: number; job: string }
  /** The store does not accept the record of a submitted job. */
  | { kind: "withdrawn"; job: string }
  | { kind: "workersListed"; workers: WorkerListing[] }
  /** A worker reported its runs. */
  | { kind: "looked"; worker: string; look: WorkerReport }
  /** A call to the worker got no answer; its tasks may still run. */
  | { kind: "workerSilent"; worker: string }
  /** The link to the worker was replaced; orders in flight may be lost. */
  | { kind: "linkReopened"; worker: string }
  /** Every lease that the worker may hold has expired. */
  | {
    kind: "workerLapsed";
    worker: string;
    /** Whether a new incarnation answers at the worker's address. */
    isReplaced?: boolean | undefined;
    /**
     * Tasks whose start was sent to it and not answered; missing in events of
     * earlier versions.
     */
    unansweredStarts?: string[] | undefined;
    /** Those of them that certainly reached it. */
    reachedStarts?: string[] | undefined;
    /**
     * Tasks that an incarnation of the worker which has not reported may still
     * run, if no report has listed them; they lapse with a later event.
     */
    heldStarts?: string[] | undefined;
  }
  | {
    kind: "startAnswered";
    worker: string;
    task: string;
    attempt: number;
    answer: StartAnswer;
  }
  /** The worker does not begin the attempt any more; it may still run it. */
  | { kind: "stopConfirmed"; worker: string; task: string; attempt: number }
  | {
    kind: "advised";
    stepKey: string;
    /** The workers that the request named. */
    namedWorkers: string[];
    /** Pairs of worker and ticket; undefined if the request failed. */
    allowed: [string, string][] | undefined;
    validMs: number;
  }
  /** The configuration has become too old to rely on, or is recent again. */
  | { kind: "configurationObserved"; isStale: boolean }
  /** The client accounts of the configuration in force. */
  | { kind: "accountsConfigured"; accounts: ClientAccount[] }
  /**
   * What the tasks of client accounts may allocate in this domain from now on;
   * accounts that are not named have no limit.
   */
  | { kind: "accountLimitsSet"; limits: [account: string, Resources][] }
  /** An earlier owner certainly grants no more leases. */
  | { kind: "ownerEnded"; owner: OwnerEntry }
  | { kind: "ticked" };

/**
 * The time of an event: on a monotonic clock for durations and timeouts, and on
 * the wall clock in milliseconds since the epoch.
 */
export type Moment = {
  steadyMs: number;
  wallMs: number;
};
