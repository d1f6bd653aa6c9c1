import type { Clock } from "../hosts/mod.ts";
import {
  type DomainQueues,
  isSameQueue,
  type QueueAddress,
} from "./queue_records.ts";

/** What an owner knows of the queues of other domains. */
export type QueueSharers = {
  /** Returns the other domains that may have jobs of a queue. */
  of(queue: QueueAddress): DomainQueues[];
  /** Adds a domain that has recorded a queue. */
  add(sharer: DomainQueues): void;
  /**
   * Replaces all by the records in the store, except what was added since.
   *
   * @param readAtMs when the read of the records began, on the steady clock
   */
  replace(records: DomainQueues[], readAtMs: number): void;
};

/**
 * Creates the knowledge of an owner, which is empty.
 *
 * @param partition the domain of the owner
 *
 * @example
 * ```ts
 * const sharers = createQueueSharers(3, clock);
 * sharers.replace(records, readAtMs);
 * sharers.of({ queue: "proofs" });
 * ```
 */
export function createQueueSharers(
  partition: number,
  clock: Clock,
): QueueSharers {
  let stored: DomainQueues[] = [];
  let storedReadAtMs = -Infinity;
  let added: { sharer: DomainQueues; addedAtMs: number }[] = [];

  return {
    of(queue) {
      const candidates = [...stored, ...added.map(({ sharer }) => sharer)];
      return candidates.filter(({ queues }) =>
        queues.some((candidate) => isSameQueue(candidate, queue))
      );
    },
    add(sharer) {
      if (sharer.partition === partition) return;
      const text = JSON.stringify(sharer);
      // A domain adds itself with each search for a job.
      added = added.filter((known) => JSON.stringify(known.sharer) !== text);
      added.push({ sharer, addedAtMs: clock.steadyMs() });
    },
    replace(records, readAtMs) {
      if (readAtMs < storedReadAtMs) return;
      storedReadAtMs = readAtMs;
      stored = records.filter((record) => record.partition !== partition);
      // Domains record a queue before they add themselves.
      added = added.filter(({ addedAtMs }) => addedAtMs >= readAtMs);
    },
  };
}
