/** How long the store is given at least, in milliseconds. */
const LEAST_TIMEOUT_MS = 650;
/** How long the store is given at most, in milliseconds. */
const MOST_TIMEOUT_MS = 3_000;
/** How many times as long as a slow answer the next one may take. */
const TIMEOUT_FACTOR = 3;
/** What is left of a slow answer's weight after each later answer. */
const DECAY = 0.8;

/**
 * How long an owner waits for the store before it repeats a call. A short
 * timeout finds a connection that went silent; a store that is slow for
 * everybody needs a long one, or each repeat would be given up as well.
 */
export type StorePatience = {
  /** Time for the next call, in milliseconds. */
  timeoutMs(): number;
  /** Takes in that a call was answered, whatever the answer was. */
  noteAnswer(elapsedMs: number): void;
  /** Takes in that a call was given up without an answer. */
  noteSilence(): void;
};

/**
 * Creates a patience for a store that answers quickly.
 *
 * @example
 * ```ts
 * const patience = createStorePatience();
 * patience.noteSilence();
 * patience.timeoutMs(); // 1_300
 * ```
 */
export function createStorePatience(): StorePatience {
  let timeoutMs = LEAST_TIMEOUT_MS;
  let slowestMs = 0;
  return {
    timeoutMs: () => timeoutMs,
    noteAnswer(elapsedMs) {
      slowestMs = Math.max(elapsedMs, slowestMs * DECAY);
      timeoutMs = bounded(slowestMs * TIMEOUT_FACTOR);
    },
    noteSilence() {
      timeoutMs = bounded(timeoutMs * 2);
    },
  };
}

function bounded(timeoutMs: number): number {
  return Math.min(Math.max(timeoutMs, LEAST_TIMEOUT_MS), MOST_TIMEOUT_MS);
}
