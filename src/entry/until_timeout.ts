import { NO_LONGER_NEEDED } from "../base/mod.ts";
import type { Clock } from "../hosts/mod.ts";

/**
 * Waits for a promise, but no longer than a timeout. A promise that is pending
 * then is left to itself.
 *
 * @param timeoutMs the timeout in milliseconds
 * @returns the value of the promise; undefined if the time is up
 *
 * @example
 * ```ts
 * const answer = await untilTimeout(clock, owner.cancel(job), 1_200);
 * ```
 */
export async function untilTimeout<Value>(
  clock: Pick<Clock, "sleep">,
  promise: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> {
  const timeout = new AbortController();
  const value = await Promise.race([
    promise,
    clock.sleep(timeoutMs, timeout.signal),
  ]);
  timeout.abort(NO_LONGER_NEEDED);
  return value ?? undefined;
}
