import { setMaxListeners } from "node:events";

/**
 * Creates a controller that also aborts with a signal above it. Each call in
 * flight may listen to it, so the number of listeners is not bounded.
 *
 * @example
 * ```ts
 * const ending = childController(host.signal);
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
