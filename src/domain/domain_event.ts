import type { JobRequest, QueuePolicy } from "./job.ts";
import type { OwnerEntry } from "./owner_entry.ts";
import type { StartAnswer, WorkerReport } from "./worker_report.ts";
import type { WorkerListing } from "./worker_listing.ts";

/** What happens to a domain. */
export type DomainEvent =
  | {
    kind: "submitted";
    call: number;
    request: JobRequest;
    policy: QueuePolicy;
  }
  | { kind: "cancelled"; call: number; job: string }
  /** The store takes no record of a job that was handed in. */
  | { kind: "withdrawn"; job: string }
  | { kind: "workersListed"; workers: WorkerListing[] }
  | { kind: "looked"; worker: string; look: WorkerReport }
  /** A call to the worker got no answer; its tasks may go on. */
  | { kind: "workerSilent"; worker: string }
  /** Orders on their way to the worker may have got lost. */
  | { kind: "linkReopened"; worker: string }
  /** Every lease that the worker may have has lapsed. */
  | { kind: "workerLapsed"; worker: string }
  | {
    kind: "startAnswered";
    worker: string;
    task: string;
    attempt: number;
    answer: StartAnswer;
  }
  | { kind: "stopConfirmed"; worker: string; task: string; attempt: number }
  | {
    kind: "advised";
    stepKey: string;
    /** The workers that were asked about. */
    asked: string[];
    /** Worker and ticket; undefined where the question failed. */
    allowed: [string, string][] | undefined;
    validMs: number;
  }
  /** An earlier owner surely grants no lease any more. */
  | { kind: "ownerEnded"; owner: OwnerEntry }
  | { kind: "ticked" };

/** The readings of the clocks that come with an event. */
export type Moment = {
  steadyMs: number;
  wallMs: number;
};
