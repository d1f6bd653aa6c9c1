import type { Clock } from "../../hosts/mod.ts";

/** A clock whose sleeps end at once and move the time forward. */
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

/** A logger that writes nothing. */
export const silentLogger = {
  error() {},
  warn() {},
  info() {},
  debug() {},
};
