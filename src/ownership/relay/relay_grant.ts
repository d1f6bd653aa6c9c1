import type { Clock } from "../../hosts/mod.ts";
import { DISTANT_PAST, elapsedMs, type Instant } from "../instant.ts";

/**
 * The owner's time-limited permission to grant worker leases. It also expires
 * while the machine is suspended.
 */
export type RelayGrant = {
  /** Whether the grant has not expired. */
  isValid(): boolean;
  /** Time until it expires, in milliseconds; 0 or less if it has. */
  remainingMs(): number;
  /** Extends the grant to `durationMs` after `from`; never shortens it. */
  extend(from: Instant, durationMs: number): void;
};

/**
 * Creates a grant that is expired until it is extended.
 *
 * @example
 * ```ts
 * const grant = createRelayGrant(clock);
 * grant.extend(currentInstant(clock), 1_500);
 * ```
 */
export function createRelayGrant(clock: Clock): RelayGrant {
  let startedAt = DISTANT_PAST;
  let validForMs = 0;
  const remainingMs = () => validForMs - elapsedMs(clock, startedAt);
  return {
    isValid: () => remainingMs() > 0,
    remainingMs,
    extend(from, durationMs) {
      if (durationMs - elapsedMs(clock, from) <= remainingMs()) return;
      startedAt = from;
      validForMs = durationMs;
    },
  };
}
