import { setMaxListeners } from "node:events";

/**
 * Creates an abort controller that also aborts with its parent signal. Each
 * call in flight may add a listener, so the listener limit is disabled.
 *
 * @example
 * ```ts
 * const ending = createChildController(host.signal);
 * ```
 */
export function createChildController(parent: AbortSignal): AbortController {
  const child = new AbortController();
  setMaxListeners(0, child.signal);
  parent.addEventListener("abort", () => child.abort(), {
    signal: child.signal,
  });
  return child;
}
