import type { Result } from "neverthrow";
import type { Clock, StoreHost } from "../hosts/mod.ts";
import { type Instant, instantOf, LONG_AGO } from "./instant.ts";

/** A store that remembers when it last answered. */
export type HeardStore = StoreHost & {
  /** When a call of any kind last succeeded. */
  heardAt(): Instant;
};

/**
 * Has a store remember when it last answered. One call without an answer says
 * little, as its answer may be lost; silence to every call says that this
 * instance is cut off, or that the store is away.
 *
 * @example
 * ```ts
 * const store = hearStore(platform.store, clock);
 * elapsedMs(clock, store.heardAt());
 * ```
 */
export function hearStore(store: StoreHost, clock: Clock): HeardStore {
  let heardAt = LONG_AGO;
  const hear = async <Value, Fault>(
    call: Promise<Result<Value, Fault>>,
  ): Promise<Result<Value, Fault>> => {
    const result = await call;
    if (result.isOk()) heardAt = instantOf(clock);
    return result;
  };
  return {
    append: (...call) => hear(store.append(...call)),
    read: (...call) => hear(store.read(...call)),
    newest: (...call) => hear(store.newest(...call)),
    join: (...call) => hear(store.join(...call)),
    leave: (...call) => hear(store.leave(...call)),
    owners: (...call) => hear(store.owners(...call)),
    heardAt: () => heardAt,
  };
}
