import type { Clock } from "../../hosts/mod.ts";
import { DISTANT_PAST, elapsedMs, type Instant } from "../instant.ts";

/** A permission that runs out, also while the machine is suspended. */
export type Permission = {
  /** Whether it still holds. */
  holds(): boolean;
  /** Extends it to a time after a past moment, in milliseconds. */
  extend(from: Instant, forMs: number): void;
};

/**
 * Creates a permission that does not hold yet.
 *
 * @example
 * ```ts
 * const permission = createPermission(clock);
 * permission.extend(instantOf(clock), 1_500);
 * ```
 */
export function createPermission(clock: Clock): Permission {
  let from = DISTANT_PAST;
  let forMs = 0;
  const leftMs = () => forMs - elapsedMs(clock, from);
  return {
    holds: () => leftMs() > 0,
    extend(given, givenMs) {
      if (givenMs - elapsedMs(clock, given) <= leftMs()) return;
      from = given;
      forMs = givenMs;
    },
  };
}
