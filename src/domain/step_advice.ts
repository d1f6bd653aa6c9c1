/** What the placement policy has said of a step. */
export type StepAdvice = {
  /** Tickets by worker; a ticket ages, the permission does not. */
  allowed: Map<string, Ticket>;
  refused: Set<string>;
  /** Workers that the next question has to name. */
  preferred: Set<string>;
  /** Whether a question is on its way. */
  requestInFlight: boolean;
  /** The earliest time of the next question, on the steady clock. */
  notBeforeMs: number;
};

/** Permission to start the tasks of a step on one worker. */
export type Ticket = {
  text: string;
  /** Until when a start may leave, on the steady clock. */
  validUntilMs: number;
};

/** Creates the advice of a step that nobody has asked about. */
export function createStepAdvice(): StepAdvice {
  return {
    allowed: new Map(),
    refused: new Set(),
    preferred: new Set(),
    requestInFlight: false,
    notBeforeMs: 0,
  };
}
