import type { Result } from "neverthrow";
import type { Clock, StoreHost } from "../hosts/mod.ts";
import { currentInstant, DISTANT_PAST, type Instant } from "./instant.ts";

/** A store that records when a call last succeeded. */
export type TrackedStore = StoreHost & {
  /** When a call of any kind last succeeded. */
  lastSuccessAt(): Instant;
};

/**
 * Wraps a store to record when a call of any kind last succeeded. A single call
 * without an answer proves little, as only the answer may be lost. If all calls
 * fail, this instance is disconnected or the store is down.
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
