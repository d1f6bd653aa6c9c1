import type { Clock, StoreHost } from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/** How old an entry may be before a caller asks for a newer one, in ms. */
const MAX_ENTRY_AGE_MS = 10_000;
/** Least time between two readings of the owners, in milliseconds. */
const MIN_READ_INTERVAL_MS = 150;

/** A store that is silent for so long is read through others too, in ms. */
const PEER_READ_DELAY_MS = 200;

/** What a directory needs. */
export type DirectoryHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  group: string;
  /** The owners as another instance reads them; undefined if none can. */
  readFromPeers(): Promise<Record<string, string> | undefined>;
  signal: AbortSignal;
};

/** Knows which instance owns which domain; its knowledge may be old. */
export type Directory = {
  /** Address of the owner of a domain, as last read. */
  ownerOf(partition: number): Promise<string | undefined>;
  /** Reads the owners again, since the last answer was wrong. */
  refresh(): Promise<void>;
  /** Reads the owners from the store; undefined where it does not answer. */
  readStore(): Promise<Record<string, string> | undefined>;
  /** Address of the owner by number of the partition. */
  knownOwners(): Record<string, string>;
  /** Takes in what an owner says of itself. */
  recordOwner(partition: number, owner: string, epoch: number): void;
  /** Resolves once a domain is known to have another owner than one. */
  waitForOwnerChange(
    partition: number,
    owner: string,
    signal: AbortSignal,
  ): Promise<void>;
};

/**
 * Creates a directory that knows no owner.
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
  /** The highest epoch under which an owner has named itself. */
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

  /** A store that turns this instance away may still serve others. */
  async function readOwners(): Promise<void> {
    const waitMs = readAtMs + MIN_READ_INTERVAL_MS - host.clock.steadyMs();
    if (waitMs > 0) await host.clock.sleep(waitMs, host.signal);
    const own = readStore();
    const peerReadDelay = host.clock.sleep(PEER_READ_DELAY_MS, host.signal);
    const found = await Promise.race([own, peerReadDelay]) ??
      await host.readFromPeers() ?? await own;
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
      return owners.get(partition);
    },
    refresh,
    readStore,
    knownOwners: () => Object.fromEntries(owners),
    recordOwner(partition, owner, epoch) {
      if (epoch < (highestEpochs.get(partition) ?? 0)) return;
      highestEpochs.set(partition, epoch);
      readAtMs = host.clock.steadyMs();
      setOwners(new Map(owners).set(partition, owner));
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
