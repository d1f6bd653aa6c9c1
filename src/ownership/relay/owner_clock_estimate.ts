import type { Clock } from "../../hosts/mod.ts";
import { MIN_CLOCK_RATE } from "../lease_time.ts";

/** A lower bound of the owner's clock, which does not stop in suspensions. */
export type OwnerClockEstimate = {
  /**
   * Adds a reading of the owner's clock, in milliseconds. The clock is already
   * past it when it arrives.
   */
  addSample(ownerMs: number): void;
  /** A time no later than the owner's clock, in milliseconds. */
  lowerBoundMs(): number;
};

/**
 * Creates an estimate without samples, which starts at 0. The bound advances
 * with the local steady clock at the slowest rate that clocks may differ by.
 *
 * @example
 * ```ts
 * const ownerClock = createOwnerClockEstimate(clock);
 * ownerClock.addSample(answer.ownerMs);
 * ```
 */
export function createOwnerClockEstimate(clock: Clock): OwnerClockEstimate {
  let sample = { ownerMs: 0, steadyMs: clock.steadyMs() };
  const lowerBoundMs = () =>
    sample.ownerMs + (clock.steadyMs() - sample.steadyMs) * MIN_CLOCK_RATE;
  return {
    addSample(ownerMs) {
      const isTighter = ownerMs > lowerBoundMs();
      if (isTighter) sample = { ownerMs, steadyMs: clock.steadyMs() };
    },
    lowerBoundMs,
  };
}
