import { setImmediate } from "node:timers/promises";
import type { Clock } from "../../hosts/mod.ts";

/** A clock whose time passes only in `advance`. */
export type SimulatedClock = Clock & {
  /** Advances the time and ends the sleeps that are due, in their order. */
  advance(durationMs: number): Promise<void>;
};

type Sleep = { untilMs: number; end: () => void };

/** Creates a clock at time 0. */
export function createSimulatedClock(): SimulatedClock {
  let nowMs = 0;
  const sleeps = new Set<Sleep>();

  /** The first sleep that ends by a time; of several, the one begun first. */
  function nextDue(untilMs: number): Sleep | undefined {
    let next: Sleep | undefined;
    for (const sleep of sleeps) {
      if (sleep.untilMs > untilMs) continue;
      if (next === undefined || sleep.untilMs < next.untilMs) next = sleep;
    }
    return next;
  }

  return {
    nowMs: () => nowMs,
    steadyMs: () => nowMs,
    sleep: (delayMs, signal) =>
      new Promise((resolve) => {
        if (signal?.aborted) return resolve();
        const end = () => {
          sleeps.delete(sleep);
          signal?.removeEventListener("abort", end);
          resolve();
        };
        const sleep = { untilMs: nowMs + delayMs, end };
        sleeps.add(sleep);
        signal?.addEventListener("abort", end);
      }),
    async advance(durationMs) {
      const untilMs = nowMs + durationMs;
      await setImmediate();
      for (let due = nextDue(untilMs); due; due = nextDue(untilMs)) {
        nowMs = Math.max(nowMs, due.untilMs);
        due.end();
        await setImmediate();
      }
      nowMs = untilMs;
    },
  };
}
