import {
  createLatencyModel,
  type Effect,
  effectOf,
  forgetSources,
  type LatencyModel,
  type LatencySample,
  learnSample,
} from "./latency_model.ts";

/** The most images of services that are kept; the least recent one goes. */
export const MAX_VICTIMS = 32;
/** Pairs that did not share a worker for this time are forgotten, in ms. */
export const PAIR_MEMORY_MS = 60_000;
/** Smaller effects do not matter: the tail latency rises by a quarter. */
const MIN_HARMFUL_EFFECT = Math.log(1.25);
/** Standard deviations by which an effect has to differ to be taken for one. */
const CERTAIN_DEVIATIONS = 4.5;
/** Fewer readings beside a source decide nothing. */
const MIN_READINGS = 30;

/** What an owner has learned; a new owner starts without knowledge. */
export type Interference = {
  /** The model of each image of services, the least recently seen first. */
  models: Map<string, LatencyModel>;
};

/** What is known of a source beside a victim. */
export type PairVerdict =
  | { kind: "unproven" }
  /** The effect is the logarithm of the factor on the tail latency. */
  | { kind: "harmful"; effect: number }
  | { kind: "harmless" };

const UNPROVEN: PairVerdict = { kind: "unproven" };
const HARMLESS: PairVerdict = { kind: "harmless" };

/** Creates the state of an owner that has not learned anything. */
export function createInterference(): Interference {
  return { models: new Map() };
}

/**
 * Learns from the tail latency of one task.
 *
 * @param victim the image of the task
 * @returns by how much the latency differs from the expected one, as the
 *   logarithm of a factor
 *
 * @example
 * ```ts
 * const exposures = new Map([["encoder-2", 1]]);
 * const sample = { logRatio: -0.2, exposures, lastDeviation: undefined };
 * learnLatency(interference, "viewer-4", sample, nowMs); // 0.49
 * ```
 */
export function learnLatency(
  { models }: Interference,
  victim: string,
  sample: LatencySample,
  nowMs: number,
): number {
  const model = models.get(victim) ?? createLatencyModel(nowMs);
  models.delete(victim);
  models.set(victim, model);
  if (models.size > MAX_VICTIMS) models.delete([...models.keys()][0]!);
  return learnSample(model, sample, nowMs);
}

/**
 * Returns what is known of a source beside a victim, both by their images.
 *
 * @example
 * ```ts
 * findVerdict(interference, "viewer-4", "encoder-2").kind; // "harmful"
 * ```
 */
export function findVerdict(
  { models }: Interference,
  victim: string,
  source: string,
): PairVerdict {
  const model = models.get(victim);
  const effect = model === undefined ? undefined : effectOf(model, source);
  return effect === undefined ? UNPROVEN : toVerdict(effect);
}

/** Judges an effect; one that is not certain decides nothing. */
export function toVerdict({ mean, deviation, readings }: Effect): PairVerdict {
  if (readings < MIN_READINGS) return UNPROVEN;
  const margin = CERTAIN_DEVIATIONS * deviation;
  if (mean >= MIN_HARMFUL_EFFECT && mean >= margin) {
    return { kind: "harmful", effect: mean };
  }
  return mean + margin < MIN_HARMFUL_EFFECT ? HARMLESS : UNPROVEN;
}

/** Forgets the pairs that have not shared a worker for a while. */
export function forgetUnseenPairs(
  { models }: Interference,
  nowMs: number,
): void {
  for (const model of models.values()) {
    forgetSources(model, nowMs - PAIR_MEMORY_MS);
  }
}
