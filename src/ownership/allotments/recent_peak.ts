import {
  combineResources,
  NO_RESOURCES,
  type Resources,
} from "../../model/mod.ts";

/** Length of the windows over which peaks are kept, in milliseconds. */
const WINDOW_MS = 5_000;

/** The most that each account has allocated in this window and the last one. */
export type RecentPeaks = {
  record(account: string, allocated: Resources, nowMs: number): void;
  of(account: string, nowMs: number): Resources;
};

type Peak = { window: number; current: Resources; former: Resources };

/**
 * Creates peaks without a value. They change in steps, so that a domain does not
 * yield a little of its allotment all the time.
 */
export function createRecentPeaks(): RecentPeaks {
  const peaks = new Map<string, Peak>();

  function peakAt(account: string, nowMs: number): Peak {
    const window = Math.floor(nowMs / WINDOW_MS);
    const known = peaks.get(account);
    if (known?.window === window) return known;
    const peak: Peak = {
      window,
      current: NO_RESOURCES,
      former: known?.window === window - 1 ? known.current : NO_RESOURCES,
    };
    peaks.set(account, peak);
    return peak;
  }

  return {
    record(account, allocated, nowMs) {
      const peak = peakAt(account, nowMs);
      peak.current = combineResources(peak.current, allocated, Math.max);
    },
    of(account, nowMs) {
      const { current, former } = peakAt(account, nowMs);
      return combineResources(current, former, Math.max);
    },
  };
}
