import type { Result } from "neverthrow";

/** A request to the placement policy about which workers may run a step. */
export type AdviceRequest = {
  /** Key of the step: job, occurrence and index. */
  stepKey: string;
  /** Ids of the candidate workers. */
  workers: string[];
  /** Expected time until the answer, in milliseconds. */
  costMs: number;
};

/** The answer of the placement policy. */
export type Advice = {
  /** Worker id and ticket of each worker that may run the step. */
  allowed: [string, string][];
  /** How long the tickets are valid, in milliseconds. */
  validMs: number;
};

/** The placement policy of the queues; it serves one call at a time. */
export type AdviceHost = {
  requestAdvice(
    request: AdviceRequest,
    signal: AbortSignal,
  ): Promise<Result<Advice, string>>;
};
