/**
 * Seeded random numbers for the benchmarks.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Randomness } from "../src/hosts/mod.ts";

const FRACTION_STEPS = 2 ** 30;

/** Creates a source of random numbers that repeats for the same seed. */
export function createRandomness(seed: number): Randomness {
  const generator = xoroshiro128plus(seed);
  return { integer: (low, high) => uniformInt(generator, low, high) };
}

/** A number from 0 up to, but without, 1. */
export function fraction(randomness: Randomness): number {
  return randomness.integer(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
}

/** A time between two events of a Poisson process. */
export function exponential(randomness: Randomness, mean: number): number {
  return -Math.log(1 - fraction(randomness)) * mean;
}

/** A factor from 1/most to most, as often below 1 as above. */
export function errorFactor(randomness: Randomness, most: number): number {
  return most ** (2 * fraction(randomness) - 1);
}
