/**
 * A stand-in for the platform's placement policy. It allows a fixed fraction
 * of the workers for each step, chosen by a hash.
 *
 * @module
 */
import { hash32 } from "../../src/base/mod.ts";
import type { StandInResponse } from "./store.ts";

/** Latency and decisions of the placement policy. */
export type AdviceOptions = {
  /** Fixed time per request, in milliseconds. */
  decideMs: number;
  /** Additional time per worker in the request, in milliseconds. */
  perWorkerMs: number;
  /** Validity of a placement ticket, in milliseconds. */
  validMs: number;
  /** About one in this many workers is refused for a step. */
  refuseOneIn: number;
};

/** Decides which workers a step may use, and responds after the set time. */
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
