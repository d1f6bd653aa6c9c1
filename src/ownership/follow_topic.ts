import type {
  Clock,
  KeyedRecord,
  Partition,
  RecordPage,
  StoreFault,
  StoreHost,
} from "../hosts/mod.ts";
import type { Result } from "neverthrow";
import type { PartLogger } from "../telemetry/mod.ts";

/** Delay after a failed read, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** How often `isWanted` is checked while it is false, in milliseconds. */
const UNWANTED_POLL_INTERVAL_MS = 50;

/** Options and callbacks for following a keyed topic. */
export type FollowTopicOptions = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  partition: Partition;
  /** How long the store may delay the answer to a long poll, in ms. */
  waitMs: number;
  /** Delay between two reads, in milliseconds. */
  pauseMs(): number;
  /**
   * Whether the topic is currently needed; always if absent. While it is not,
   * nothing is read, and an empty snapshot replaces the earlier records.
   */
  isWanted?(): boolean;
  /** Called after a failed read. */
  onFailure?(): void;
  /** Called with the newest record of every key. */
  onSnapshot(records: KeyedRecord[]): void;
  /** Called with the records appended since, in order. */
  onRecords(records: KeyedRecord[]): void;
  signal: AbortSignal;
};

/**
 * Follows a keyed topic: reads the newest record of every key, then the records
 * appended since. Starts again from a snapshot if the store has trimmed the
 * records in between.
 *
 * @example
 * ```ts
 * await followTopic({ store, partition, onSnapshot, onRecords, ...rest });
 * ```
 */
export async function followTopic(options: FollowTopicOptions): Promise<void> {
  const { store, clock, partition, signal } = options;
  let offset: number | undefined;
  let hasReadFailed = false;
  while (!signal.aborted) {
    if (options.isWanted?.() === false) {
      if (offset !== undefined) options.onSnapshot([]);
      offset = undefined;
      await clock.sleep(UNWANTED_POLL_INTERVAL_MS, signal);
      continue;
    }
    const isFirst = offset === undefined;
    const page: Result<RecordPage, StoreFault> = offset === undefined
      ? await store.newest(partition, signal)
      : await store.read(partition, offset, options.waitMs, signal);
    if (signal.aborted) return;
    if (page.isErr()) {
      if (page.error.kind === "trimmed") offset = undefined;
      options.onFailure?.();
      if (!hasReadFailed) logReadFailure(options, page.error);
      hasReadFailed = true;
      await clock.sleep(RETRY_DELAY_MS, signal);
      continue;
    }
    if (hasReadFailed) logRecovery(options);
    hasReadFailed = false;
    offset = page.value.nextOffset;
    applyRecords(options, isFirst, page.value.records);
    await clock.sleep(options.pauseMs(), signal);
  }
}

/** Passes records on; the topic is followed further if that fails. */
function applyRecords(
  { onSnapshot, onRecords, logger, partition }: FollowTopicOptions,
  isSnapshot: boolean,
  records: KeyedRecord[],
): void {
  try {
    if (isSnapshot) onSnapshot(records);
    else onRecords(records);
  } catch (error) {
    logger.error("Failed to apply records of a store topic.", {
      topic: partition.topic,
      records: records.length,
      cause: error instanceof Error ? error.stack ?? error.message : `${error}`,
    });
  }
}

function logReadFailure(options: FollowTopicOptions, fault: StoreFault): void {
  options.logger.warn("Cannot read a store topic.", {
    topic: options.partition.topic,
    fault: fault.kind,
    cause: fault.message,
  });
}

function logRecovery(options: FollowTopicOptions): void {
  options.logger.info("Reading a store topic succeeds again.", {
    topic: options.partition.topic,
  });
}
