import process from "node:process";

/** How long work may keep the event loop from turning, in milliseconds. */
const MAX_SLICE_MS = 2;

/** Runs work in slices, between which the event loop turns. */
export type WorkQueue = {
  /** Resolves when the caller may go on, after all earlier callers. */
  turn(): Promise<void>;
};

/**
 * Creates a queue without work. The event loop accepts one connection of a
 * server each time it turns, so handling all requests that have arrived at once
 * would let new connections wait.
 *
 * @example
 * ```ts
 * const queue = createWorkQueue();
 * await queue.turn();
 * ```
 */
export function createWorkQueue(): WorkQueue {
  let waiting: (() => void)[] = [];
  let nextIndex = 0;
  let isRunning = false;
  let sliceEndsAtMs = 0;

  function startSlice(): void {
    sliceEndsAtMs = performance.now() + MAX_SLICE_MS;
    runNext();
  }

  function runNext(): void {
    const resume = waiting[nextIndex];
    if (resume === undefined) {
      waiting = [];
      nextIndex = 0;
      isRunning = false;
      return;
    }
    if (performance.now() >= sliceEndsAtMs) {
      setImmediate(startSlice);
      return;
    }
    nextIndex += 1;
    resume();
    // A tick that is queued by a microtask runs after all pending microtasks.
    queueMicrotask(() => process.nextTick(runNext));
  }

  return {
    turn: () =>
      new Promise((resolve) => {
        waiting.push(resolve);
        if (isRunning) return;
        isRunning = true;
        setImmediate(startSlice);
      }),
  };
}
