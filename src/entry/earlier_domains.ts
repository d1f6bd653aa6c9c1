/**
 * Which other domains may have jobs that arrived at the address of a queue, or
 * under its name.
 *
 * @module
 */
import type { QueueAddress, QueueRecord } from "../ownership/mod.ts";

/**
 * Returns the partitions of other domains that may have accepted a job at the
 * address of a queue, or under its name.
 *
 * @param partition the domain to which the queue is assigned
 *
 * @example
 * ```ts
 * earlierPartitions(records, { queue: "proofs" }, 3); // [1]
 * ```
 */
export function earlierPartitions(
  records: QueueRecord[],
  target: QueueAddress,
  partition: number,
): number[] {
  const matching = records.filter(({ queues }) =>
    queues.some((candidate) =>
      candidate.queue === target.queue || hasAddressOf(candidate, target)
    )
  );
  const partitions = new Set(matching.map((record) => record.partition));
  partitions.delete(partition);
  return [...partitions];
}

/** A domain, and a queue of which it may have jobs. */
export type QueueDomain = { partition: number; queue: string };

/**
 * Returns where jobs of a queue may wait. Jobs of a queue that is not assigned
 * any more count for the queue that has its address.
 *
 * @param partition the domain to which the queue is assigned
 * @param isAssigned whether the configuration has a queue of a name
 *
 * @example
 * ```ts
 * queueDomains(records, { queue: "proofs" }, 3, () => true);
 * // [{ partition: 3, queue: "proofs" }, { partition: 1, queue: "proofs" }]
 * ```
 */
export function queueDomains(
  records: QueueRecord[],
  target: QueueAddress,
  partition: number,
  isAssigned: (queue: string) => boolean,
): QueueDomain[] {
  const domains = new Map<string, QueueDomain>();
  const add = (domain: QueueDomain) =>
    domains.set(JSON.stringify([domain.partition, domain.queue]), domain);
  add({ partition, queue: target.queue });
  for (const record of records) {
    for (const candidate of record.queues) {
      const { queue } = candidate;
      const isRemoved = hasAddressOf(candidate, target) && !isAssigned(queue);
      if (queue !== target.queue && !isRemoved) continue;
      add({ partition: record.partition, queue });
    }
  }
  return [...domains.values()];
}

/** Returns the partitions of all domains that may have jobs of any queue. */
export function recordedPartitions(records: QueueRecord[]): number[] {
  return [...new Set(records.map(({ partition }) => partition))];
}

function hasAddressOf(candidate: QueueAddress, target: QueueAddress): boolean {
  return candidate.address !== undefined &&
    candidate.address === target.address;
}
