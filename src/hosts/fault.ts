/** What is known of the effect of a call that failed. */
export type FaultKind =
  /** The other side answered and said no: the call had no effect. */
  | "refused"
  /** The call never reached the other side: it had no effect. */
  | "unsent"
  /** The call may or may not have taken effect. */
  | "unknown";

/** A failed call: where it failed, and what is known of its effect. */
export type Fault = {
  kind: FaultKind;
  /** Number of the diagnostic. */
  code: number;
  /** What was being done, such as `worker.start`. */
  step: string;
  /** The instance, worker or service that was called. */
  peer: string;
  message: string;
  /** Structured data of a refusal, such as the version in force. */
  data?: unknown;
};
