/**
 * Which images raise the tail latency of services on the same worker, as far as
 * an owner has learned it from the reports of its workers.
 *
 * @module
 */
export { imageOf } from "./image.ts";
export {
  createInterference,
  findVerdict,
  forgetUnseenPairs,
  type Interference,
  learnLatency,
  type PairVerdict,
} from "./interference.ts";
export { observeWorkerLatencies } from "./observe_latencies.ts";
export {
  type InterferenceRow,
  interferenceRowSchema,
  listInterference,
} from "./list_interference.ts";
export { harmfulExcess, interferencePenalty } from "./interference_penalty.ts";
