import type { Clock } from "../../hosts/mod.ts";
import { MIN_CLOCK_RATE } from "../lease_time.ts";

/** What the owner's steady clock shows at least. */
export type OwnerTime = {
  /** Takes in a reading that has just arrived, and is older than that. */
  note(ownerMs: number): void;
  /** No later than the owner's present time. */
  nowMs(): number;
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
export function createOwnerTime(clock: Clock): OwnerTime {
  let sample = { ownerMs: 0, steadyMs: clock.steadyMs() };
  const nowMs = () =>
    sample.ownerMs + (clock.steadyMs() - sample.steadyMs) * MIN_CLOCK_RATE;
  return {
    note(ownerMs) {
      const isCloser = ownerMs > nowMs();
      if (isCloser) sample = { ownerMs, steadyMs: clock.steadyMs() };
    },
    nowMs,
  };
}
