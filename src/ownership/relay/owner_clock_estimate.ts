import type { Clock } from "../../hosts/mod.ts";
import { SLOWEST_RATE } from "../lease_time.ts";

/** What the owner's steady clock shows at least. */
export type OwnerClockEstimate = {
  /** Takes in a reading that has just arrived, and is older than that. */
  addSample(ownerMs: number): void;
  /** No later than the owner's present time. */
  lowerBoundMs(): number;
};

/**
 * Creates a reading of nothing, which is before every time.
 *
 * @example
 * ```ts
 * const time = createOwnerTime(clock);
 * time.note(answer.ownerMs);
 * ```
 */
export function createOwnerClockEstimate(clock: Clock): OwnerClockEstimate {
  let sample = { ownerMs: 0, steadyMs: clock.steadyMs() };
  const lowerBoundMs = () =>
    sample.ownerMs + (clock.steadyMs() - sample.steadyMs) * SLOWEST_RATE;
  return {
    addSample(ownerMs) {
      const isTighter = ownerMs > lowerBoundMs();
      if (isTighter) sample = { ownerMs, steadyMs: clock.steadyMs() };
    },
    lowerBoundMs,
  };
}
