import type { Clock } from "../hosts/mod.ts";

/** When messages of other instances last arrived. */
export type PeerContact = {
  /** Records a message or an answer from an instance. */
  record(instance: string): void;
  /** Time since its last message arrived, in milliseconds; Infinity if none did. */
  silentMs(instance: string): number;
};

/**
 * Creates a record without any contact.
 *
 * @example
 * ```ts
 * const contact = createPeerContact(clock);
 * contact.record("10.1.0.30:7380");
 * ```
 */
export function createPeerContact(
  clock: Pick<Clock, "steadyMs">,
): PeerContact {
  const heardAtMs = new Map<string, number>();
  return {
    record(instance) {
      heardAtMs.set(instance, clock.steadyMs());
    },
    silentMs: (instance) =>
      clock.steadyMs() - (heardAtMs.get(instance) ?? -Infinity),
  };
}
