/** Returns the partition of the domain that a service belongs to. */
export type PartitionLookup = (service: string) => number;

/**
 * Creates a lookup that computes the partition of each service once: each domain
 * asks for each worker whenever the list of workers changes.
 *
 * @example
 * ```ts
 * const lookUp = createPartitionLookup((service) => partitionOf(service, 12));
 * lookUp("ledger");
 * ```
 */
export function createPartitionLookup(
  partitionOf: (service: string) => number,
): PartitionLookup {
  const partitions = new Map<string, number>();
  return (service) => {
    const known = partitions.get(service);
    if (known !== undefined) return known;
    const partition = partitionOf(service);
    partitions.set(service, partition);
    return partition;
  };
}
