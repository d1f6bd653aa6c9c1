import type { Clock } from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/** Interval between two entries about the same cause, in milliseconds. */
const ENTRY_INTERVAL_MS = 5_000;

/** Logs refusals, in an amount that does not grow with their number. */
export type RefusalLog<Cause extends string> = {
  add(cause: Cause): void;
};

/**
 * Creates a log with at most one entry for each cause in 5 s, which tells how
 * many refusals there were since the one before.
 *
 * @example
 * ```ts
 * const refusals = createRefusalLog(clock, logger, "Refused calls.");
 * refusals.add("unknownKey");
 * ```
 */
export function createRefusalLog<Cause extends string>(
  clock: Pick<Clock, "steadyMs">,
  logger: PartLogger,
  message: string,
): RefusalLog<Cause> {
  const counts = new Map<Cause, { calls: number; loggedAtMs: number }>();
  return {
    add(cause) {
      const nowMs = clock.steadyMs();
      const { calls, loggedAtMs } = counts.get(cause) ??
        { calls: 0, loggedAtMs: -Infinity };
      if (nowMs - loggedAtMs < ENTRY_INTERVAL_MS) {
        counts.set(cause, { calls: calls + 1, loggedAtMs });
        return;
      }
      counts.set(cause, { calls: 0, loggedAtMs: nowMs });
      logger.info(message, { cause, calls: calls + 1 });
    },
  };
}
