import type { Effect } from "./effect.ts";

/**
 * A piece of control flow: a generator that yields effects and is resumed
 * with their results. Between two effects it runs without interruption.
 */
export type Flow<T> = Generator<Effect, T, unknown>;
