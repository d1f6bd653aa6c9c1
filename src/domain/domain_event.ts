import type { JobRequest, QueuePolicy } from "./job.ts";
import type { OwnerEntry } from "./owner_entry.ts";
import type { WorkerListing } from "./worker_listing.ts";

/** How a run ended at a worker. */
export type RunEnd =
  | "done"
  /** Through its own fault or the worker's. */
  | "failed"
  | "stopped"
  /** The worker's lease lapsed. */
  | "lapsed"
  /** Another member of the gang ended. */
  | "broken"
  /** The gang was not complete in time. */
  | "alone";

/** A run that a worker lists as ended. */
export type EndedRun = {
  /** Position in the worker's list of ends, from 1. */
  number: number;
  task: string;
  attempt: number;
  end: RunEnd;
  checkpoint: string;
};

/** A run that a worker lists as running. */
export type ListedRun = {
  task: string;
  attempt: number;
  checkpoint: string;
  percent: number;
  /** Tail latency in ms for a service; processor use for anything else. */
  reading: number;
};

/** What a worker listed in answer to one look. */
export type Look = {
  bornMs: number;
  running: ListedRun[];
  ended: EndedRun[];
  /** When the look was sent, on the steady clock. */
  sentAtMs: number;
};

/** How a worker answered a start. */
export type StartAnswer =
  | { kind: "accepted" }
  /** The worker has stopped or ended this attempt, or a later one. */
  | { kind: "superseded" }
  /** Surely not started by this order. */
  | { kind: "rejected"; cause: StartRejection; earlierUnknown: boolean };

/** Why a worker did not start a task. */
export type StartRejection =
  | "late"
  | "room"
  | "ticket"
  | "unhealthy"
  | "invalid"
  | "reborn";

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
  | { kind: "looked"; worker: string; look: Look }
  /** A call to the worker got no answer; its tasks may go on. */
  | { kind: "workerSilent"; worker: string }
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
