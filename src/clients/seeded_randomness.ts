import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Randomness } from "../hosts/mod.ts";

/**
 * Builds random numbers that are the same for the same seed.
 *
 * @example
 * ```ts
 * const randomness = createRandomness(7);
 * const delayMs = randomness.integer(0, 1_000);
 * ```
 *
 * @param seed any integer of 32 bits
 */
export function createRandomness(seed: number): Randomness {
  const generator = xoroshiro128plus(seed);
  return { integer: (low, high) => uniformInt(generator, low, high) };
}
