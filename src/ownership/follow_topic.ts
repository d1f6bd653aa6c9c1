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
const RETRY_MS = 250;

/** How often a topic that is not wanted is asked about, in milliseconds. */
const UNWANTED_POLL_MS = 50;

/** How a keyed topic is followed. */
export type TopicFollower = {
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
export async function followTopic(follower: TopicFollower): Promise<void> {
  const { store, clock, partition, signal } = follower;
  let offset: number | undefined;
  let isDown = false;
  while (!signal.aborted) {
    if (follower.isWanted?.() === false) {
      if (offset !== undefined) follower.onSnapshot([]);
      offset = undefined;
      await clock.sleep(UNWANTED_POLL_MS, signal);
      continue;
    }
    const isFirst = offset === undefined;
    const page: Result<RecordPage, StoreFault> = offset === undefined
      ? await store.newest(partition, signal)
      : await store.read(partition, offset, follower.waitMs, signal);
    if (signal.aborted) return;
    if (page.isErr()) {
      if (page.error.kind === "trimmed") offset = undefined;
      follower.onFailure?.();
      if (!isDown) reportLoss(follower, page.error);
      isDown = true;
      await clock.sleep(RETRY_MS, signal);
      continue;
    }
    if (isDown) reportReturn(follower);
    isDown = false;
    offset = page.value.nextOffset;
    if (isFirst) follower.onSnapshot(page.value.records);
    else follower.onRecords(page.value.records);
    await clock.sleep(follower.pauseMs(), signal);
  }
}

function reportLoss(follower: TopicFollower, fault: StoreFault): void {
  follower.logger.warn("Cannot follow a topic of the store.", {
    topic: follower.partition.topic,
    fault: fault.kind,
    cause: fault.message,
  });
}

function reportReturn(follower: TopicFollower): void {
  follower.logger.info("Follows a topic of the store again.", {
    topic: follower.partition.topic,
  });
}
