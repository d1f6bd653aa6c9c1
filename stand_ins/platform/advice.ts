/**
 * A stand-in of the platform's placement policy, which allows a fixed part of
 * the workers to each step.
 *
 * @module
 */
import { hash32 } from "../../src/base/mod.ts";
import type { StoreAnswer } from "./store.ts";

/** How a placement policy answers. */
export type AdvicePlan = {
  /** Time for a question, in milliseconds. */
  decideMs: number;
  /** Time for each worker that a question names, in milliseconds. */
  perWorkerMs: number;
  /** How long a ticket is good, in milliseconds. */
  validMs: number;
  /** One of so many workers is refused for a step. */
  refusedOneOf: number;
};

/** Answers a question after the time that it takes. */
export async function answerAdvice(
  plan: AdvicePlan,
  { phase, workers }: { phase: string; workers: string[] },
): Promise<StoreAnswer> {
  const costMs = plan.decideMs + plan.perWorkerMs * workers.length;
  await new Promise((resolve) => setTimeout(resolve, costMs));
  const allowed = workers
    .filter((id) => hash32(`${phase}/${id}`) % plan.refusedOneOf !== 0)
    .map((id) => [id, `${phase}/${id}`]);
  return { status: 200, body: { allowed, valid_ms: plan.validMs } };
}
