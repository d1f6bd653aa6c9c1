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

/** Returns the partitions of all domains that may have jobs of any queue. */
export function recordedPartitions(records: QueueRecord[]): number[] {
  return [...new Set(records.map(({ partition }) => partition))];
}

function hasAddressOf(candidate: QueueAddress, target: QueueAddress): boolean {
  return candidate.address !== undefined &&
    candidate.address === target.address;
}
