import type { Clock } from "../hosts/mod.ts";

/** Calls that fail for this long make an instance unhealthy, in milliseconds. */
const UNHEALTHY_AFTER_MS = 700;

/** Tracks whether this instance reaches the owners of the domains. */
export type Reachability = {
  /** Records whether a call reached an owner. */
  recordCall(reached: boolean): void;
  /** False once calls have failed for so long that clients should go elsewhere. */
  isHealthy(): boolean;
};

/**
 * Creates a tracker without a failed call.
 *
 * @example
 * ```ts
 * const reachability = createReachability(clock);
 * reachability.recordCall(false);
 * ```
 */
export function createReachability(clock: Clock): Reachability {
  let failingSinceMs: number | undefined;
  return {
    recordCall(reached) {
      if (reached) failingSinceMs = undefined;
      else failingSinceMs ??= clock.steadyMs();
    },
    isHealthy: () =>
      failingSinceMs === undefined ||
      clock.steadyMs() - failingSinceMs < UNHEALTHY_AFTER_MS,
  };
}
