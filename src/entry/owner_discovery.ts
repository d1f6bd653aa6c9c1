import type { Clock } from "../hosts/mod.ts";
import type { Directory, OwnedDomains, WorkerList } from "../ownership/mod.ts";

/** Pause between two searches for missing owners, in milliseconds. */
const RETRY_INTERVAL_MS = 200;

/** Dependencies of the discovery of owners. */
export type OwnerDiscoveryHost = {
  clock: Clock;
  directory: Pick<Directory, "ownerOf">;
  ownedDomains: Pick<OwnedDomains, "ownerOf">;
  workers: Pick<WorkerList, "hasBeenRead">;
  /** Address of this instance. */
  self: string;
  /** The domains in use; none before the instance is configured. */
  partitionsInUse(): Set<number>;
  signal: AbortSignal;
};

/** The search for the owners of all domains after the start of an instance. */
export type OwnerDiscovery = {
  /** Whether an owner of every domain in use has been found once. */
  isComplete(): boolean;
};

/**
 * Searches until every domain in use has an owner, so that an instance does not
 * attract calls that no owner could take. An instance that owns a domain itself
 * has found its owner once the takeover is complete and the workers are known.
 *
 * @example
 * ```ts
 * const discovery = discoverOwners(host);
 * const isReady = discovery.isComplete();
 * ```
 */
export function discoverOwners(host: OwnerDiscoveryHost): OwnerDiscovery {
  let isComplete = false;

  async function hasOwner(partition: number): Promise<boolean> {
    const owner = await host.directory.ownerOf(partition);
    if (owner !== host.self) return owner !== undefined;
    return host.workers.hasBeenRead() &&
      await host.ownedDomains.ownerOf(partition) !== undefined;
  }

  async function haveOwners(partitions: Set<number>): Promise<boolean> {
    const found = await Promise.all([...partitions].map(hasOwner));
    return found.length > 0 && found.every((isFound) => isFound);
  }

  async function search(): Promise<void> {
    while (!host.signal.aborted) {
      isComplete = await haveOwners(host.partitionsInUse());
      if (isComplete) return;
      await host.clock.sleep(RETRY_INTERVAL_MS, host.signal);
    }
  }

  search();
  return { isComplete: () => isComplete };
}
