import type { Clock } from "../../hosts/mod.ts";
import { elapsedMs, type Instant, LONG_AGO } from "../instant.ts";

/** A permission that runs out, also while the machine is suspended. */
export type RelayGrant = {
  /** Whether it still holds. */
  isValid(): boolean;
  /** Extends it to a time after a past moment, in milliseconds. */
  extend(from: Instant, durationMs: number): void;
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
export function createRelayGrant(clock: Clock): RelayGrant {
  let startedAt = LONG_AGO;
  let validForMs = 0;
  const remainingMs = () => validForMs - elapsedMs(clock, startedAt);
  return {
    isValid: () => remainingMs() > 0,
    extend(from, durationMs) {
      if (durationMs - elapsedMs(clock, from) <= remainingMs()) return;
      startedAt = from;
      validForMs = durationMs;
    },
  };
}
