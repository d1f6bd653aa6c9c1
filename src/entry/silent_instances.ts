import type { Clock } from "../hosts/mod.ts";

/** An instance that has answered no check for this time has gone, in ms. */
const MAX_SILENCE_MS = 10_000;

/** Chooses which instances to check, and finds those that have gone. */
export type SilentInstances = {
  /**
   * Returns the instances to check now: the next one in turn, and those that
   * did not answer their last check.
   */
  nextChecks(listed: string[]): string[];
  /** Records the outcome of a check. */
  record(instance: string, isAlive: boolean): void;
  /** Whether the instance did not answer its last check. */
  isSilent(instance: string): boolean;
  /** Returns the instances that have been silent for too long. */
  gone(): string[];
};

/**
 * Creates a record in which no instance is silent. Each call of `nextChecks`
 * checks one instance in turn, so the cost does not grow with their number.
 *
 * @example
 * ```ts
 * const silent = createSilentInstances(clock);
 * for (const instance of silent.nextChecks(["10.1.0.30:7380"])) {
 *   silent.record(instance, false);
 * }
 * ```
 */
export function createSilentInstances(
  clock: Pick<Clock, "steadyMs">,
): SilentInstances {
  const silentSinceMs = new Map<string, number>();
  let nextInTurn = 0;
  return {
    nextChecks(listed) {
      const known = new Set(listed);
      for (const instance of silentSinceMs.keys()) {
        if (!known.has(instance)) silentSinceMs.delete(instance);
      }
      const inTurn = listed[nextInTurn % Math.max(1, listed.length)];
      nextInTurn += 1;
      return [
        ...new Set([
          ...silentSinceMs.keys(),
          ...(inTurn === undefined ? [] : [inTurn]),
        ]),
      ];
    },
    record(instance, isAlive) {
      if (isAlive) silentSinceMs.delete(instance);
      else if (!silentSinceMs.has(instance)) {
        silentSinceMs.set(instance, clock.steadyMs());
      }
    },
    isSilent: (instance) => silentSinceMs.has(instance),
    gone: () =>
      [...silentSinceMs]
        .filter(([, sinceMs]) => clock.steadyMs() - sinceMs >= MAX_SILENCE_MS)
        .map(([instance]) => instance),
  };
}
