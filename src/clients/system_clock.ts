import type { Clock } from "../hosts/mod.ts";

/**
 * Creates a clock that reads the system time and sleeps on timers.
 *
 * @example
 * ```ts
 * const clock = createSystemClock();
 * await clock.sleep(100, signal);
 * ```
 */
export function createSystemClock(): Clock {
  return {
    nowMs: () => Date.now(),
    steadyMs: () => performance.now(),
    sleep,
  };
}

function sleep(delayMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
      return;
    }
    const end = () => {
      clearTimeout(timer);
      signal.removeEventListener("abort", end);
      resolve();
    };
    const timer = setTimeout(end, delayMs);
    signal.addEventListener("abort", end);
  });
}
