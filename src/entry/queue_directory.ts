import type { Clock, StoreHost } from "../hosts/mod.ts";
import {
  parseQueueRecords,
  type QueueRecord,
  QUEUES_PARTITION,
} from "../ownership/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";
import { untilTimeout } from "./until_timeout.ts";

/** The shortest time between a failed read and the next one, in ms. */
const RETRY_DELAY_MS = 250;
/**
 * Time by which most other instances apply a configuration as well, in
 * milliseconds. Until then they may use queues under an earlier one.
 */
const CONFIGURATION_SPREAD_MS = 10_000;

/** Dependencies of a queue directory. */
export type QueueDirectoryHost = {
  store: Pick<StoreHost, "newest">;
  clock: Clock;
  logger: PartLogger;
  signal: AbortSignal;
};

/**
 * The records of which domain may have jobs of which queue, as far as this
 * instance has read them. Only the owners of the domains know of all others that
 * may have a job (`QueueSharers`).
 */
export type QueueDirectory = {
  /**
   * Reads the records, or joins a read that is under way.
   *
   * @returns the records; undefined if the store does not answer in time
   */
  read(timeoutMs: number): Promise<QueueRecord[] | undefined>;
  /**
   * Reads the records after a change of the configuration or of the manifest,
   * and once more when most other instances have applied it, too.
   */
  refresh(): Promise<void>;
  /** The records read last. */
  known(): QueueRecord[];
};

/**
 * Creates a directory that has not read anything yet.
 *
 * @example
 * ```ts
 * const directory = createQueueDirectory(host);
 * const records = await directory.read(1_500);
 * ```
 */
export function createQueueDirectory(host: QueueDirectoryHost): QueueDirectory {
  const { store, clock, logger, signal } = host;
  let known: QueueRecord[] = [];
  let reading: Promise<QueueRecord[] | undefined> | undefined;
  let failedAtMs = -Infinity;
  let refreshes = 0;

  async function readStore(): Promise<QueueRecord[] | undefined> {
    const page = await store.newest(QUEUES_PARTITION, signal);
    if (page.isErr()) {
      failedAtMs = clock.steadyMs();
      if (signal.aborted) return undefined;
      logger.warn("Cannot read the queue records.", {
        fault: page.error.kind,
        cause: page.error.message,
      });
      return undefined;
    }
    const { records, unreadable } = parseQueueRecords(page.value.records);
    for (const key of unreadable) {
      logger.error("Skipped an unreadable queue record.", { key });
    }
    known = records;
    return records;
  }

  function startRead(): Promise<QueueRecord[] | undefined> {
    if (reading !== undefined) return reading;
    if (clock.steadyMs() - failedAtMs < RETRY_DELAY_MS) {
      return Promise.resolve(undefined);
    }
    reading = readStore().finally(() => {
      reading = undefined;
    });
    return reading;
  }

  async function readUntilAnswered(isWanted: () => boolean): Promise<void> {
    while (isWanted() && await startRead() === undefined) {
      await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  return {
    known: () => known,
    read: (timeoutMs) => untilTimeout(clock, startRead(), timeoutMs),
    async refresh() {
      refreshes += 1;
      const refresh = refreshes;
      const isLatest = () => refresh === refreshes && !signal.aborted;
      await readUntilAnswered(isLatest);
      await clock.sleep(CONFIGURATION_SPREAD_MS, signal);
      await readUntilAnswered(isLatest);
    },
  };
}
