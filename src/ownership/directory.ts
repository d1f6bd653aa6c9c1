import type { Clock, StoreHost } from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/** The owners are read again for a lookup after this time, in milliseconds. */
const MAX_ENTRY_AGE_MS = 10_000;
/** The shortest time between two reads of the owners, in milliseconds. */
const MIN_READ_INTERVAL_MS = 150;

/** Peers are queried if the store does not answer within this time, in ms. */
const PEER_READ_DELAY_MS = 200;

/** Dependencies of a directory. */
export type DirectoryHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  group: string;
  /** Reads the owners through other instances; undefined if none can. */
  readFromPeers(): Promise<Record<string, string> | undefined>;
  signal: AbortSignal;
};

/** A cache of which instance owns which domain; it may be stale. */
export type Directory = {
  /** Address of the owner of a domain; undefined if it is unknown. */
  ownerOf(partition: number): Promise<string | undefined>;
  /** Reads the owners again, after an entry turned out to be stale. */
  refresh(): Promise<void>;
  /** Reads the owners from the store, not the cache; undefined on failure. */
  readStore(): Promise<Record<string, string> | undefined>;
  /** The cached owner addresses by partition number. */
  knownOwners(): Record<string, string>;
  /** Records an owner that has announced itself; ignores older epochs. */
  recordOwner(partition: number, owner: string, epoch: number): void;
  /** Records that an instance has refused a call as it is not the owner. */
  forgetOwner(partition: number, owner: string): void;
  /** Resolves once a domain has an owner other than the given one. */
  waitForOwnerChange(
    partition: number,
    owner: string,
    signal: AbortSignal,
  ): Promise<void>;
};

/**
 * Creates an empty directory.
 *
 * @example
 * ```ts
 * const directory = createDirectory(host);
 * const owner = await directory.ownerOf(3);
 * ```
 */
export function createDirectory(host: DirectoryHost): Directory {
  let owners = new Map<number, string>();
  let readAtMs = -Infinity;
  let reading: Promise<void> | undefined;
  /**
   * The owners that have announced themselves. One that has left the group
   * serves its domains until its successor has taken them over.
   */
  const announced = new Map<number, string>();
  /** The highest epoch that an owner of each domain has announced. */
  const highestEpochs = new Map<number, number>();
  const ownerWaiters = new Set<() => void>();

  function setOwners(found: Map<number, string>): void {
    owners = found;
    for (const check of [...ownerWaiters]) check();
  }

  async function readStore(): Promise<Record<string, string> | undefined> {
    const result = await host.store.owners(host.group, host.signal);
    if (result.isErr()) {
      host.logger.warn("Cannot read the owners of the domains.", {
        fault: result.error.kind,
        cause: result.error.message,
      });
      return undefined;
    }
    return Object.fromEntries(
      result.value.map(({ partition, member }) => [partition.number, member]),
    );
  }

  /** Reads the owners, also through peers if the store serves only those. */
  async function readOwners(): Promise<void> {
    const waitMs = readAtMs + MIN_READ_INTERVAL_MS - host.clock.steadyMs();
    if (waitMs > 0) await host.clock.sleep(waitMs, host.signal);
    const ownRead = readStore();
    const peerReadDelay = host.clock.sleep(PEER_READ_DELAY_MS, host.signal);
    const found = await Promise.race([ownRead, peerReadDelay]) ??
      await host.readFromPeers() ?? await ownRead;
    readAtMs = host.clock.steadyMs();
    if (found === undefined) return;
    setOwners(
      new Map(
        Object.entries(found).map(([key, member]) => [Number(key), member]),
      ),
    );
  }

  async function refresh(): Promise<void> {
    reading ??= readOwners().finally(() => {
      reading = undefined;
    });
    await reading;
  }

  return {
    async ownerOf(partition) {
      const ageMs = host.clock.steadyMs() - readAtMs;
      if (ageMs > MAX_ENTRY_AGE_MS || !owners.has(partition)) await refresh();
      return owners.get(partition) ?? announced.get(partition);
    },
    refresh,
    readStore,
    knownOwners: () => Object.fromEntries(owners),
    recordOwner(partition, owner, epoch) {
      if (epoch < (highestEpochs.get(partition) ?? 0)) return;
      highestEpochs.set(partition, epoch);
      readAtMs = host.clock.steadyMs();
      announced.set(partition, owner);
      setOwners(new Map(owners).set(partition, owner));
    },
    forgetOwner(partition, owner) {
      if (announced.get(partition) === owner) announced.delete(partition);
    },
    waitForOwnerChange(partition, owner, signal) {
      return new Promise((resolve) => {
        const end = () => {
          ownerWaiters.delete(check);
          signal.removeEventListener("abort", end);
          resolve();
        };
        const check = () => {
          const present = owners.get(partition);
          if (present !== undefined && present !== owner) end();
        };
        ownerWaiters.add(check);
        signal.addEventListener("abort", end);
        check();
      });
    },
  };
}
