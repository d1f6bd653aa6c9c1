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

/** Pause after a read that failed, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** How often a topic that is not wanted is asked about, in milliseconds. */
const UNWANTED_POLL_INTERVAL_MS = 50;

/** How a keyed topic is followed. */
export type FollowTopicOptions = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  partition: Partition;
  /** How long the store may hold back an answer, in milliseconds. */
  waitMs: number;
  /** Pause between two reads, in milliseconds. */
  pauseMs(): number;
  /**
   * Whether the topic is of use now; always if absent. While it is not, nothing
   * is read, and what was read counts as gone.
   */
  isWanted?(): boolean;
  /** A read failed. */
  onFailure?(): void;
  /** Takes the newest record of every key. */
  onSnapshot(records: KeyedRecord[]): void;
  /** Takes records that were appended since, in their order. */
  onRecords(records: KeyedRecord[]): void;
  signal: AbortSignal;
};

/**
 * Follows a keyed topic: reads the newest record of every key first, then
 * what is appended. Starts over where the records in between are gone.
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
    if (isFirst) options.onSnapshot(page.value.records);
    else options.onRecords(page.value.records);
    await clock.sleep(options.pauseMs(), signal);
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
