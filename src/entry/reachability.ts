import type { Clock } from "../hosts/mod.ts";

/** Calls that fail for this long make an instance unfit for clients, in ms. */
const UNHEALTHY_AFTER_MS = 700;

/** Whether this instance reaches the owners of the domains. */
export type Reachability = {
  /** Takes in whether a call reached an owner. */
  recordCall(reached: boolean): void;
  /** Whether calls have failed for so long that clients are better elsewhere. */
  isHealthy(): boolean;
};

/**
 * Creates a reachability without a failed call.
 *
 * @example
 * ```ts
 * const reachability = createReachability(clock);
 * reachability.note(false);
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
