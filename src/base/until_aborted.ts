import { once } from "node:events";
import { NO_LONGER_NEEDED } from "./abort_reason.ts";
import { createChildController } from "./child_controller.ts";

/**
 * Waits for a promise, but no longer than until a signal aborts. A promise that
 * is pending then is left to itself.
 *
 * @returns the value of the promise; undefined if the signal aborted first
 *
 * @example
 * ```ts
 * const answer = await untilAborted(fetchAnswer(), stopping.signal);
 * ```
 */
export async function untilAborted<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value | undefined> {
  if (signal.aborted) return undefined;
  const wait = createChildController(signal);
  const aborted = once(wait.signal, "abort").then(() => undefined);
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    wait.abort(NO_LONGER_NEEDED);
  }
}
