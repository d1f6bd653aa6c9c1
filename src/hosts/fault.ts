/** What is known about the effect of a failed call. */
export type FaultKind =
  /** The peer rejected the call, so it had no effect. */
  | "refused"
  /** The call never reached the peer, so it had no effect. */
  | "unsent"
  /** The call may or may not have taken effect. */
  | "unknown";

/** A failed call: where it failed, and what is known about its effect. */
export type Fault = {
  kind: FaultKind;
  /** Code of the diagnostic. */
  code: number;
  /** The operation that failed, such as `worker.start`. */
  step: string;
  /** The instance, worker or service that was called. */
  peer: string;
  message: string;
  /** Structured data of a refusal, such as the version in force. */
  data?: unknown;
};
