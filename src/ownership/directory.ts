import type { Clock, StoreHost } from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/** How old an entry may be before a caller asks for a newer one, in ms. */
const REFRESH_AFTER_MS = 10_000;
/** Least time between two readings of the owners, in milliseconds. */
const LEAST_REFRESH_GAP_MS = 150;

/** What a directory needs. */
export type DirectoryHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  group: string;
  /** The owners as another instance reads them; undefined if none can. */
  readElsewhere(): Promise<Record<string, string> | undefined>;
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
  known(): Record<string, string>;
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
  async function read(): Promise<void> {
    const waitMs = readAtMs + LEAST_REFRESH_GAP_MS - host.clock.steadyMs();
    if (waitMs > 0) await host.clock.sleep(waitMs, host.signal);
    const found = await readStore() ?? await host.readElsewhere();
    readAtMs = host.clock.steadyMs();
    if (found === undefined) return;
    owners = new Map(
      Object.entries(found).map(([key, member]) => [Number(key), member]),
    );
  }

  async function refresh(): Promise<void> {
    reading ??= read().finally(() => {
      reading = undefined;
    });
    await reading;
  }

  return {
    async ownerOf(partition) {
      const ageMs = host.clock.steadyMs() - readAtMs;
      if (ageMs > REFRESH_AFTER_MS || !owners.has(partition)) await refresh();
      return owners.get(partition);
    },
    refresh,
    readStore,
    known: () => Object.fromEntries(owners),
  };
}
