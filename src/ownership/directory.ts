import type { Clock, StoreHost } from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/** How old an entry may be before a caller asks for a newer one, in ms. */
const REFRESH_AFTER_MS = 10_000;
/** Least time between two readings of the owners, in milliseconds. */
const LEAST_REFRESH_GAP_MS = 150;

/** A store that is silent for so long is read through others too, in ms. */
const ASK_ELSEWHERE_AFTER_MS = 200;

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
  /** Takes in what an owner says of itself. */
  learn(partition: number, owner: string, epoch: number): void;
  /** Resolves once a domain is known to have another owner than one. */
  whenOwnerIsNot(
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
  const learnedEpochs = new Map<number, number>();
  const waiting = new Set<() => void>();

  function replace(found: Map<number, string>): void {
    owners = found;
    for (const check of [...waiting]) check();
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
  async function read(): Promise<void> {
    const waitMs = readAtMs + LEAST_REFRESH_GAP_MS - host.clock.steadyMs();
    if (waitMs > 0) await host.clock.sleep(waitMs, host.signal);
    const own = readStore();
    const soon = host.clock.sleep(ASK_ELSEWHERE_AFTER_MS, host.signal);
    const found = await Promise.race([own, soon]) ??
      await host.readElsewhere() ?? await own;
    readAtMs = host.clock.steadyMs();
    if (found === undefined) return;
    replace(
      new Map(
        Object.entries(found).map(([key, member]) => [Number(key), member]),
      ),
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
    learn(partition, owner, epoch) {
      if (epoch < (learnedEpochs.get(partition) ?? 0)) return;
      learnedEpochs.set(partition, epoch);
      readAtMs = host.clock.steadyMs();
      replace(new Map(owners).set(partition, owner));
    },
    whenOwnerIsNot(partition, owner, signal) {
      return new Promise((resolve) => {
        const end = () => {
          waiting.delete(check);
          signal.removeEventListener("abort", end);
          resolve();
        };
        const check = () => {
          const present = owners.get(partition);
          if (present !== undefined && present !== owner) end();
        };
        waiting.add(check);
        signal.addEventListener("abort", end);
        check();
      });
    },
  };
}
