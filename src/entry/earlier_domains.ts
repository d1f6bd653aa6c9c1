/**
 * Which other domains may have jobs that arrived at the address of a queue, or
 * under its name.
 *
 * @module
 */
import {
  type DomainQueues,
  hasSameAddress,
  type QueueAddress,
} from "../ownership/mod.ts";

/** A domain, and a queue of which it may have jobs. */
export type QueueDomain = { partition: number; queue: string };

/**
 * Returns where else jobs of a queue may wait than under its name in the domain
 * that it is assigned to. Jobs of a queue that is not assigned
 * any more count for the queue that has its address.
 *
 * @param partition the domain to which the queue is assigned
 * @param isAssigned whether the configuration has a queue of a name
 *
 * @example
 * ```ts
 * queueDomains(records, { queue: "proofs" }, 3, () => true);
 * // [{ partition: 1, queue: "proofs" }]
 * ```
 */
export function queueDomains(
  records: DomainQueues[],
  target: QueueAddress,
  partition: number,
  isAssigned: (queue: string) => boolean,
): QueueDomain[] {
  const domains = new Map<string, QueueDomain>();
  const add = (domain: QueueDomain) =>
    domains.set(JSON.stringify([domain.partition, domain.queue]), domain);
  for (const record of records) {
    for (const candidate of record.queues) {
      const { queue } = candidate;
      const isRemoved = hasSameAddress(candidate, target) && !isAssigned(queue);
      if (queue !== target.queue && !isRemoved) continue;
      if (queue === target.queue && record.partition === partition) continue;
      add({ partition: record.partition, queue });
    }
  }
  return [...domains.values()];
}

/** Returns the partitions of all domains that may have jobs of any queue. */
export function recordedPartitions(records: DomainQueues[]): number[] {
  return [...new Set(records.map(({ partition }) => partition))];
}
