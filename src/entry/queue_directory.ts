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
 * Time by which other instances apply a configuration as well, in milliseconds.
 * Until then they may accept jobs under an earlier one.
 */
const CONFIGURATION_SPREAD_MS = 10_000;

/** Dependencies of a queue directory. */
export type QueueDirectoryHost = {
  store: Pick<StoreHost, "newest">;
  clock: Clock;
  logger: PartLogger;
  /** Identifies the configuration and the manifest in force. */
  revision(): string;
  /** Version of the configuration in force. */
  version(): number | undefined;
  signal: AbortSignal;
};

/** A cache of the records of which domain may have jobs of which queue. */
export type QueueDirectory = {
  /**
   * Returns records that were read under the present configuration; undefined
   * if the store does not answer. They name every domain in which an instance
   * under an earlier configuration may have accepted a job, since a queue is
   * recorded before its first job.
   *
   * @param timeoutMs how long to wait for a store that is slow
   * @param since version of the configuration since which the queue in question
   * has not moved; records read since then tell all of its earlier domains
   */
  read(timeoutMs: number, since?: number): Promise<QueueRecord[] | undefined>;
  /** The records read last, also under an earlier configuration. */
  known(): QueueRecord[];
};

type Snapshot = {
  revision: string;
  /** Version of the configuration that was in force when the read began. */
  version: number | undefined;
  readAtMs: number;
  /** Whether it was read once all instances had applied the configuration. */
  isFinal: boolean;
  records: QueueRecord[];
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
  let snapshot: Snapshot | undefined;
  let reading: { revision: string; result: Promise<void> } | undefined;
  let failedAtMs = -Infinity;

  async function readStore(revision: string, isFinal: boolean): Promise<void> {
    const version = host.version();
    const page = await store.newest(QUEUES_PARTITION, signal);
    if (page.isErr()) {
      failedAtMs = clock.steadyMs();
      if (signal.aborted) return;
      logger.warn("Cannot read the queue records.", {
        fault: page.error.kind,
        cause: page.error.message,
      });
      return;
    }
    const { records, unreadable } = parseQueueRecords(page.value.records);
    for (const key of unreadable) {
      logger.error("Skipped an unreadable queue record.", { key });
    }
    const readAtMs = clock.steadyMs();
    snapshot = { revision, version, readAtMs, isFinal, records };
  }

  /** Joins a read of the same revision that is under way. */
  function startRead(revision: string, isFinal: boolean): Promise<void> {
    if (reading?.revision === revision) return reading.result;
    if (clock.steadyMs() - failedAtMs < RETRY_DELAY_MS) {
      return Promise.resolve();
    }
    const started = { revision, result: readStore(revision, isFinal) };
    reading = started;
    started.result = started.result.finally(() => {
      if (reading === started) reading = undefined;
    });
    return started.result;
  }

  return {
    known: () => snapshot?.records ?? [],
    async read(timeoutMs, since) {
      const revision = host.revision();
      if (snapshot?.revision === revision) {
        const ageMs = clock.steadyMs() - snapshot.readAtMs;
        const isOutdated = !snapshot.isFinal && ageMs > CONFIGURATION_SPREAD_MS;
        if (isOutdated) startRead(revision, true);
        return snapshot.records;
      }
      const isRecent = since !== undefined && snapshot?.version !== undefined &&
        snapshot.version >= since;
      if (isRecent) {
        startRead(revision, false);
        return snapshot?.records;
      }
      await untilTimeout(clock, startRead(revision, false), timeoutMs);
      return snapshot?.revision === revision ? snapshot.records : undefined;
    },
  };
}
