import type { QueuePolicy } from "../domain/mod.ts";
import type { ClientAccount } from "../model/mod.ts";
import { DISTANT_PAST, type Instant } from "../ownership/mod.ts";

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
  clientAccounts: ClientAccount[];
  /**
   * Whether calls to queues that are not public need a key, also if no client
   * account is left.
   */
  requiresKeys: boolean;
};

/** When the configuration in force was known to be the newest. */
export type Confirmation = {
  /** When the question was sent that was answered. */
  sentAt: Instant;
  /** How old the confirmation was that the answer passed on, in ms. */
  ageMs: number;
};

/** Holds the configuration in force at this instance. */
export type ConfigurationState = {
  current(): Configuration | undefined;
  /**
   * Puts a configuration in force if its version is newer than the current one;
   * returns whether it did. Once calls have needed keys, they do under all later
   * configurations, too.
   */
  applyIfNewer(configuration: Configuration): boolean;
  /**
   * Records that every version acknowledged by an instant is in force here.
   *
   * @param sentAt when the question was sent that was answered
   * @param ageMs how long before that the answer held, in milliseconds; 0 for an
   * answer of the store
   */
  confirm(sentAt: Instant, ageMs?: number): void;
  /** The latest confirmation; undefined before the first. */
  confirmation(): Confirmation | undefined;
  /**
   * The instant by which every acknowledged version is in force here; the distant
   * past before the first confirmation.
   */
  confirmedAt(): Instant;
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
  let confirmation: Confirmation | undefined;

  return {
    current: () => current,
    confirm(sentAt, ageMs = 0) {
      const next = { sentAt, ageMs };
      if (confirmation !== undefined && isEarlier(next, confirmation)) return;
      confirmation = next;
    },
    confirmation: () => confirmation,
    confirmedAt: () =>
      confirmation === undefined ? DISTANT_PAST : startOf(confirmation),
    hasQueue: (queue) =>
      current?.routes.some(({ policy }) => policy.queue === queue) ?? false,
    services: () => [
      ...new Set(current?.routes.map(({ policy }) => policy.service)),
    ],
    applyIfNewer(configuration) {
      if (current !== undefined && configuration.version <= current.version) {
        return false;
      }
      const requiresKeys = configuration.requiresKeys ||
        current?.requiresKeys === true;
      current = { ...configuration, requiresKeys };
      return true;
    },
  };
}

/** The instant by which all versions are covered by a confirmation. */
function startOf({ sentAt, ageMs }: Confirmation): Instant {
  return { steadyMs: sentAt.steadyMs - ageMs, wallMs: sentAt.wallMs - ageMs };
}

/** Whether a confirmation is older than another one by both clocks. */
function isEarlier(left: Confirmation, right: Confirmation): boolean {
  const leftStart = startOf(left);
  const rightStart = startOf(right);
  return leftStart.steadyMs < rightStart.steadyMs &&
    leftStart.wallMs < rightStart.wallMs;
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
