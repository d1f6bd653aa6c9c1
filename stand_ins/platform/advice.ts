/**
 * A stand-in of the platform's placement policy, which allows a fixed part of
 * the workers to each step.
 *
 * @module
 */
import { hash32 } from "../../src/base/mod.ts";
import type { StandInResponse } from "./store.ts";

/** How a placement policy answers. */
export type AdviceOptions = {
  /** Time for a question, in milliseconds. */
  decideMs: number;
  /** Time for each worker that a question names, in milliseconds. */
  perWorkerMs: number;
  /** How long a ticket is good, in milliseconds. */
  validMs: number;
  /** One of so many workers is refused for a step. */
  refuseOneIn: number;
};

/** Answers a question after the time that it takes. */
export async function handleAdviceRequest(
  options: AdviceOptions,
  { phase, workers }: { phase: string; workers: string[] },
): Promise<StandInResponse> {
  const costMs = options.decideMs + options.perWorkerMs * workers.length;
  await new Promise((resolve) => setTimeout(resolve, costMs));
  const allowed = workers
    .filter((id) => hash32(`${phase}/${id}`) % options.refuseOneIn !== 0)
    .map((id) => [id, `${phase}/${id}`]);
  return { status: 200, body: { allowed, valid_ms: options.validMs } };
}
