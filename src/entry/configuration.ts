import type { QueuePolicy } from "../domain/mod.ts";
import type { ClientAccount } from "../model/mod.ts";

/** A queue that clients reach by host and path. */
export type QueueRoute = {
  host: string;
  prefix: string;
  policy: QueuePolicy;
  /** Whether calls need no key of a client account. */
  isPublic: boolean;
};

/** The operators' configuration of queues. */
export type Configuration = {
  version: number;
  routes: QueueRoute[];
  maxBodyBytes: number;
  /** The client accounts; empty if calls need no keys. */
  clientAccounts: ClientAccount[];
};

/** Holds the configuration in force at this instance. */
export type ConfigurationState = {
  current(): Configuration | undefined;
  /**
   * Puts a configuration in force if its version is newer than the current one;
   * returns whether it did.
   */
  applyIfNewer(configuration: Configuration): boolean;
  /** Whether there is a queue of a name. */
  hasQueue(queue: string): boolean;
  /** Returns the services to which the queues are assigned. */
  services(): string[];
};

/**
 * Creates a state without a configuration.
 *
 * @example
 * ```ts
 * const state = createConfigurationState();
 * state.applyIfNewer(configuration); // true
 * ```
 */
export function createConfigurationState(): ConfigurationState {
  let current: Configuration | undefined;

  return {
    current: () => current,
    hasQueue: (queue) =>
      current?.routes.some(({ policy }) => policy.queue === queue) ?? false,
    services: () => [
      ...new Set(current?.routes.map(({ policy }) => policy.service)),
    ],
    applyIfNewer(configuration) {
      if (current !== undefined && configuration.version <= current.version) {
        return false;
      }
      current = configuration;
      return true;
    },
  };
}

/**
 * Finds the queue of a call by its host and the longest matching path prefix.
 *
 * @example
 * ```ts
 * const route = findRoute(configuration, "orders.example", "/proofs/17");
 * ```
 */
export function findRoute(
  configuration: Configuration,
  host: string,
  path: string,
): QueueRoute | undefined {
  let found: QueueRoute | undefined;
  for (const route of configuration.routes) {
    if (route.host !== host || !path.startsWith(route.prefix)) continue;
    if (found !== undefined && found.prefix.length >= route.prefix.length) {
      continue;
    }
    found = route;
  }
  return found;
}
