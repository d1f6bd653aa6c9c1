import type { CallAnswer, JobDescription, JobState } from "../domain/mod.ts";

/** Why an owner cannot answer a call. */
export type OwnerUnavailable =
  /** The ownership has ended; a change may have been stored. */
  | { kind: "lost" }
  /** The store does not answer; the call was rejected without effect. */
  | { kind: "storeDown"; silentMs: number };

/** The answer of an owner to a call that changes a job. */
export type OwnerAnswer = CallAnswer | OwnerUnavailable;

/** The answer of an owner to a read of a job's state. */
export type StateAnswer =
  | { kind: "state"; state: JobState }
  | { kind: "unknownJob" }
  | OwnerUnavailable;

/** The answer of an owner to a read of a job with its tasks. */
export type DescriptionAnswer =
  | { kind: "description"; job: JobDescription }
  | { kind: "unknownJob" }
  | OwnerUnavailable;
