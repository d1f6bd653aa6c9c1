import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Randomness } from "../hosts/mod.ts";

/**
 * Creates a random number generator that is deterministic for a seed.
 *
 * @example
 * ```ts
 * const randomness = createRandomness(7);
 * const delayMs = randomness.integer(0, 1_000);
 * ```
 *
 * @param seed any 32-bit integer
 */
export function createRandomness(seed: number): Randomness {
  const generator = xoroshiro128plus(seed);
  return { integer: (low, high) => uniformInt(generator, low, high) };
}
