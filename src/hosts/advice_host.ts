import type { Result } from "neverthrow";

/** A question to the placement policy. */
export type AdviceQuestion = {
  /** The step: job, occurrence and index. */
  stepKey: string;
  workers: string[];
  /** How long the answer is expected to take, in milliseconds. */
  costMs: number;
};

/** The answer of the placement policy. */
export type Advice = {
  /** Worker and ticket of each worker that may run the step. */
  allowed: [string, string][];
  /** How long the tickets are valid, in milliseconds. */
  validMs: number;
};

/** The placement policy of the queues; it takes one call at a time. */
export type AdviceHost = {
  ask(
    question: AdviceQuestion,
    signal: AbortSignal,
  ): Promise<Result<Advice, string>>;
};
