import type { CallAnswer, JobDescription, JobState } from "../domain/mod.ts";

/** Why an owner cannot answer. */
export type OwnerUnavailable =
  /** The owner lost the domain; a change may be in the store. */
  | { kind: "lost" }
  /** The store has not answered for a while; the call was not taken on. */
  | { kind: "storeDown"; silentMs: number };

/** The answer of an owner to a change. */
export type OwnerAnswer = CallAnswer | OwnerUnavailable;

/** The answer of an owner to the question for a state. */
export type StateAnswer =
  | { kind: "state"; state: JobState }
  | { kind: "unknownJob" }
  | OwnerUnavailable;

/** The answer of an owner to the question for a job with its tasks. */
export type DescriptionAnswer =
  | { kind: "description"; job: JobDescription }
  | { kind: "unknownJob" }
  | OwnerUnavailable;
