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
import { currentInstant, type Instant } from "./instant.ts";

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
  /**
   * How long the store may delay the answer to a long poll, in ms; it may depend
   * on whether the last read has failed.
   */
  waitMs: number | ((hasReadFailed: boolean) => number);
  /** Delay between two reads, in milliseconds. */
  pauseMs(): number;
  /**
   * Whether the topic is currently needed; always if absent. While it is not,
   * nothing is read, and an empty snapshot replaces the earlier records.
   */
  isWanted?(): boolean;
  /**
   * Called once the records of an answer have been applied that reaches the end
   * of the topic, with the instant at which the read was sent: everything appended
   * before it was passed on.
   */
  onConfirmed?(sentAt: Instant): void;
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
    const sentAt = currentInstant(clock);
    const page: Result<RecordPage, StoreFault> = offset === undefined
      ? await store.newest(partition, signal)
      : await store.read(
        partition,
        offset,
        waitMsOf(options, hasReadFailed),
        signal,
      );
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
    const { records, nextOffset, hasMore = false } = page.value;
    offset = nextOffset;
    const isApplied = applyRecords(options, isFirst, records);
    if (isApplied && !hasMore) options.onConfirmed?.(sentAt);
    await clock.sleep(options.pauseMs(), signal);
  }
}

/** How long the next read may be held open, in ms. */
function waitMsOf(
  { waitMs }: FollowTopicOptions,
  hasReadFailed: boolean,
): number {
  return typeof waitMs === "number" ? waitMs : waitMs(hasReadFailed);
}

/**
 * Passes records on, and returns whether they were applied; the topic is followed
 * further if not.
 */
function applyRecords(
  { onSnapshot, onRecords, logger, partition }: FollowTopicOptions,
  isSnapshot: boolean,
  records: KeyedRecord[],
): boolean {
  try {
    if (isSnapshot) onSnapshot(records);
    else onRecords(records);
    return true;
  } catch (error) {
    logger.error("Failed to apply records of a store topic.", {
      topic: partition.topic,
      records: records.length,
      cause: error instanceof Error ? error.stack ?? error.message : `${error}`,
    });
    return false;
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
