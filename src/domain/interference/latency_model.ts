/**
 * A Kalman filter for the tail latency of one image of services: the logarithm
 * of latency over goal is a level plus, for each source, its effect times its
 * exposure. The full covariance is kept, because sources that always run
 * together cannot be told apart.
 *
 * @module
 */

/** The most sources that are kept for an image; the least recent one goes. */
export const MAX_SOURCES = 12;
/** Variance of the level before the first reading. */
const LEVEL_VARIANCE = 1;
/** Growth of the level's variance, per second: the load of services varies. */
const LEVEL_DRIFT = 0.02;
/** Variance of an effect without evidence: a factor of 2 is usual. */
const EFFECT_VARIANCE = 0.5;
/** Evidence on an effect loses its weight over this time of observation. */
const EFFECT_MEMORY_MS = 120_000;
/** A longer time without an observation counts as this, in milliseconds. */
const MAX_ELAPSED_MS = 2_000;
/** Variance of one reading before any is known, and the least. */
const NOISE_VARIANCE = { initial: 0.04, min: 0.0025 };
/** Weight of the newest reading in the moving estimates of the noise. */
const NOISE_WEIGHT = 0.02;
/** Correlations above this are not corrected for. */
const MAX_CORRELATION = 0.9;
/** Correlation of a task's readings before any is known. */
const INITIAL_CORRELATION = 0.8;
/**
 * Larger deviations count as this many standard deviations, for the effects and
 * for the noise.
 */
const MAX_DEVIATIONS = { effect: 2.5, noise: 6 };
const MS_PER_S = 1_000;

/** What is known of one source. */
export type Source = {
  image: string;
  /** When it last ran beside a task of the image, on the steady clock. */
  seenAtMs: number;
  /** Number of readings beside it. */
  readings: number;
};

/** The model of one image of services. */
export type LatencyModel = {
  sources: Source[];
  /** The level, followed by the effect of each source. */
  means: number[];
  covariance: number[][];
  learnedAtMs: number;
  noiseVariance: number;
  /** Moving averages of the squares and lagged products of deviations. */
  deviationSquare: number;
  deviationProduct: number;
};

/** The effect of a source, as the logarithm of a factor. */
export type Effect = { mean: number; deviation: number; readings: number };

/** A reading of a task, with the exposure to each source beside it. */
export type LatencySample = {
  /** Logarithm of tail latency over goal. */
  logRatio: number;
  exposures: ReadonlyMap<string, number>;
  /** Deviation of the task's reading before; undefined for its first. */
  lastDeviation: number | undefined;
};

/** Creates a model without an observation. */
export function createLatencyModel(nowMs: number): LatencyModel {
  return {
    sources: [],
    means: [0],
    covariance: [[LEVEL_VARIANCE]],
    learnedAtMs: nowMs,
    noiseVariance: NOISE_VARIANCE.initial,
    deviationSquare: NOISE_VARIANCE.initial,
    deviationProduct: INITIAL_CORRELATION * NOISE_VARIANCE.initial,
  };
}

/**
 * Learns from one reading.
 *
 * @returns by how much the reading differs from the expected one
 */
export function learnSample(
  model: LatencyModel,
  { logRatio, exposures, lastDeviation }: LatencySample,
  nowMs: number,
): number {
  for (const image of exposures.keys()) addSource(model, image, nowMs);
  passTime(model, exposures, nowMs);
  const input = [
    1,
    ...model.sources.map(({ image }) => exposures.get(image) ?? 0),
  ];
  const { means, covariance } = model;
  const products = covariance.map((row) => dot(row, input));
  const noise = effectiveNoise(model);
  const variance = dot(products, input) + noise;
  const deviation = logRatio - dot(means, input);
  const bounded = limit(deviation, MAX_DEVIATIONS.effect, variance);
  for (let row = 0; row < means.length; row += 1) {
    const gain = products[row]! / variance;
    means[row]! += gain * bounded;
    for (let column = 0; column < means.length; column += 1) {
      covariance[row]![column]! -= gain * products[column]!;
    }
  }
  const noisy = limit(deviation, MAX_DEVIATIONS.noise, variance);
  learnNoise(model, noisy, noisy * noise / variance, lastDeviation);
  return noisy;
}

/** Returns the effect of a source; undefined without an observation. */
export function effectOf(
  model: LatencyModel,
  image: string,
): Effect | undefined {
  const index = model.sources.findIndex((source) => source.image === image);
  if (index < 0) return undefined;
  return {
    mean: model.means[index + 1]!,
    deviation: Math.sqrt(Math.max(0, model.covariance[index + 1]![index + 1]!)),
    readings: model.sources[index]!.readings,
  };
}

/** Forgets the sources that were last seen before a time. */
export function forgetSources(model: LatencyModel, beforeMs: number): void {
  for (let index = model.sources.length - 1; index >= 0; index -= 1) {
    if (model.sources[index]!.seenAtMs >= beforeMs) continue;
    model.sources.splice(index, 1);
    model.means.splice(index + 1, 1);
    model.covariance.splice(index + 1, 1);
    for (const row of model.covariance) row.splice(index + 1, 1);
  }
}

/** Adds a new source, in the place of the least recent one if need be. */
function addSource(model: LatencyModel, image: string, nowMs: number): void {
  const { sources, means, covariance } = model;
  if (sources.some((source) => source.image === image)) return;
  if (sources.length >= MAX_SOURCES) {
    const oldestMs = Math.min(...sources.map(({ seenAtMs }) => seenAtMs));
    if (oldestMs >= nowMs) return;
    const oldest = sources.findIndex(({ seenAtMs }) => seenAtMs === oldestMs);
    sources[oldest]!.seenAtMs = -Infinity;
    forgetSources(model, oldestMs);
  }
  sources.push({ image, seenAtMs: nowMs, readings: 0 });
  means.push(0);
  for (const row of covariance) row.push(0);
  covariance.push(means.map(() => 0));
  covariance.at(-1)![means.length - 1] = EFFECT_VARIANCE;
}

/**
 * Lets the level drift, and the evidence on the effects that are observed fade
 * by the time since they were last observed.
 */
function passTime(
  model: LatencyModel,
  exposures: ReadonlyMap<string, number>,
  nowMs: number,
): void {
  const { covariance, means, sources, learnedAtMs } = model;
  const kept = means.map(() => 1);
  for (const [index, source] of sources.entries()) {
    if (!exposures.has(source.image)) continue;
    const elapsedMs = Math.min(MAX_ELAPSED_MS, nowMs - source.seenAtMs);
    kept[index + 1] = Math.exp(-Math.max(0, elapsedMs) / EFFECT_MEMORY_MS);
    source.seenAtMs = nowMs;
    source.readings += 1;
  }
  for (let row = 0; row < means.length; row += 1) {
    means[row]! *= kept[row]!;
    for (let column = 0; column < means.length; column += 1) {
      covariance[row]![column]! *= kept[row]! * kept[column]!;
    }
    covariance[row]![row]! += (1 - kept[row]! ** 2) * EFFECT_VARIANCE;
  }
  const elapsedMs = Math.max(0, Math.min(MAX_ELAPSED_MS, nowMs - learnedAtMs));
  model.learnedAtMs = nowMs;
  const drifted = covariance[0]![0]! + LEVEL_DRIFT * elapsedMs / MS_PER_S;
  covariance[0]![0] = Math.max(
    covariance[0]![0]!,
    Math.min(LEVEL_VARIANCE, drifted),
  );
}

/** Variance of a reading, larger if a task's readings resemble each other. */
function effectiveNoise(model: LatencyModel): number {
  const { noiseVariance, deviationProduct, deviationSquare } = model;
  const correlation = deviationProduct / deviationSquare;
  const bounded = Math.max(0, Math.min(MAX_CORRELATION, correlation));
  return Math.max(NOISE_VARIANCE.min, noiseVariance) * (1 + bounded) /
    (1 - bounded);
}

/** Learns the noise from the deviations before and after a reading counted. */
function learnNoise(
  model: LatencyModel,
  before: number,
  after: number,
  lastDeviation: number | undefined,
): void {
  model.noiseVariance += NOISE_WEIGHT * (before * after - model.noiseVariance);
  if (lastDeviation === undefined) return;
  model.deviationSquare += NOISE_WEIGHT *
    (before ** 2 - model.deviationSquare);
  model.deviationProduct += NOISE_WEIGHT *
    (before * lastDeviation - model.deviationProduct);
}

/** Limits a deviation to a number of standard deviations. */
function limit(deviation: number, count: number, variance: number): number {
  const bound = count * Math.sqrt(variance);
  return Math.max(-bound, Math.min(bound, deviation));
}

function dot(left: number[], right: number[]): number {
  let sum = 0;
  for (let index = 0; index < left.length; index += 1) {
    sum += left[index]! * right[index]!;
  }
  return sum;
}
