import { isReady, type Scheduler } from "../instance/mod.ts";
import type { Route } from "./route.ts";

const OK = 200;
const UNAVAILABLE = 503;

/**
 * Creates the route for the balancer: `/healthz` and `/readyz`.
 *
 * @example
 * ```ts
 * const server = createHttpServer([createHealthRoute(scheduler)], limits);
 * ```
 */
export function createHealthRoute(scheduler: Scheduler): Route {
  return (call) => {
    if (call.method !== "GET" || call.path.length !== 1) return undefined;
    switch (call.path[0]) {
      case "healthz":
        return { status: OK, body: { healthy: true } };
      case "readyz": {
        const ready = isReady(scheduler);
        return { status: ready ? OK : UNAVAILABLE, body: { ready } };
      }
      default:
        return undefined;
    }
  };
}
