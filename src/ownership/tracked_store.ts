import type { Result } from "neverthrow";
import type { Clock, StoreHost } from "../hosts/mod.ts";
import { currentInstant, DISTANT_PAST, type Instant } from "./instant.ts";

/** A store that remembers when it last answered. */
export type TrackedStore = StoreHost & {
  /** When a call of any kind last succeeded. */
  lastSuccessAt(): Instant;
};

/**
 * Has a store remember when it last answered. One call without an answer says
 * little, as its answer may be lost; silence to every call says that this
 * instance is cut off, or that the store is away.
 *
 * @example
 * ```ts
 * const store = trackStore(platform.store, clock);
 * elapsedMs(clock, store.lastSuccessAt());
 * ```
 */
export function trackStore(store: StoreHost, clock: Clock): TrackedStore {
  let lastSuccessAt = DISTANT_PAST;
  const track = async <Value, Fault>(
    call: Promise<Result<Value, Fault>>,
  ): Promise<Result<Value, Fault>> => {
    const result = await call;
    if (result.isOk()) lastSuccessAt = currentInstant(clock);
    return result;
  };
  return {
    append: (...call) => track(store.append(...call)),
    read: (...call) => track(store.read(...call)),
    newest: (...call) => track(store.newest(...call)),
    join: (...call) => track(store.join(...call)),
    leave: (...call) => track(store.leave(...call)),
    owners: (...call) => track(store.owners(...call)),
    lastSuccessAt: () => lastSuccessAt,
  };
}
