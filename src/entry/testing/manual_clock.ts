import type { Clock } from "../../hosts/mod.ts";

/** Creates a clock whose sleeps return immediately and advance its time. */
export function createManualClock(): Clock {
  let nowMs = 0;
  return {
    nowMs: () => nowMs,
    steadyMs: () => nowMs,
    async sleep(delayMs) {
      await Promise.resolve();
      nowMs += delayMs;
    },
  };
}

/** A logger that discards all messages. */
export const silentLogger = {
  error() {},
  warn() {},
  info() {},
  debug() {},
};
