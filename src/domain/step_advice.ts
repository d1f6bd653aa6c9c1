/** The decisions of the placement policy about a step, and its requests. */
export type StepAdvice = {
  /** Tickets by worker. A ticket expires; the permission does not. */
  allowed: Map<string, Ticket>;
  refused: Set<string>;
  /** Workers that the next request names first. */
  preferred: Set<string>;
  /** Whether a request has been sent and not been answered yet. */
  requestInFlight: boolean;
  /** Workers to which the answer in flight does not apply any more. */
  outdated: Set<string>;
  /** The earliest time of the next request, on the steady clock. */
  notBeforeMs: number;
};

/** A permission to start tasks of a step on one worker. */
export type Ticket = {
  text: string;
  /** Until when a start order may be sent, on the steady clock. */
  validUntilMs: number;
};

/** Creates the advice of a step before its first request. */
export function createStepAdvice(): StepAdvice {
  return {
    allowed: new Map(),
    refused: new Set(),
    preferred: new Set(),
    requestInFlight: false,
    outdated: new Set(),
    notBeforeMs: 0,
  };
}
