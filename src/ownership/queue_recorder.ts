import type { KeyedRecord } from "../hosts/mod.ts";
import { splitIntoAppends } from "./split_into_appends.ts";
import type { DomainOwnerHost } from "./domain_owner_host.ts";
import {
  createQueueRecords,
  isRecordable,
  parseQueueRecords,
  type QueueAddress,
  type QueueRecord,
  QUEUES_PARTITION,
} from "./queue_records.ts";
import type { QueueSharers } from "./queue_sharers.ts";

/** Delay before a failed write is repeated, in milliseconds. */
const RETRY_DELAY_MS = 100;
/** How long a call waits for the record of its queue, in milliseconds. */
const RECORD_TIMEOUT_MS = 800;
/** An entry is kept for this time after its last use, in milliseconds. */
const UNUSED_ENTRY_KEEP_MS = 60_000;

/** Dependencies of a queue recorder. */
export type QueueRecorderHost =
  & Pick<
    DomainOwnerHost,
    "store" | "clock" | "logger" | "partition" | "epoch" | "signal"
  >
  & {
    /** Where the records of other domains are kept. */
    sharers: QueueSharers;
  };

/** Writes the queue records of a domain's owner. */
export type QueueRecorder = {
  /**
   * Waits until the store has a record that names a queue, and until the records
   * of other domains have been read after that. Of two domains that record the
   * same queue, at least the later one then knows of the other one.
   *
   * @returns whether both are done
   */
  record(queue: QueueAddress): Promise<boolean>;
  /**
   * Replaces the records of earlier owners, and drops the queues of which the
   * domain has nothing left.
   *
   * @param stored the records in the store
   * @param heldQueues the queues of the jobs in the domain
   */
  replaceObsolete(
    stored: QueueRecord[],
    heldQueues: Set<string>,
  ): Promise<void>;
};

type Entry = {
  address: QueueAddress;
  usedAtMs: number;
  /** Whether the records of other domains were read after the write. */
  areOthersKnown: boolean;
};

/**
 * Creates the recorder of an owner, which has not written anything yet.
 *
 * Records carry the epoch of their owner in the key. An owner relies only on
 * records of its own epoch, and removes only those of lower epochs, so a removal
 * that the store executes late affects no record that is still needed.
 *
 * @example
 * ```ts
 * const recorder = createQueueRecorder(host);
 * await recorder.record({ queue: "proofs", address: "desk.example/proofs/" });
 * ```
 */
export function createQueueRecorder(host: QueueRecorderHost): QueueRecorder {
  const { store, clock, logger, partition, epoch, signal, sharers } = host;
  /** Entries that a record in the store names, by their text. */
  const recorded = new Map<string, Entry>();
  /** Entries that the next write adds, by their text. */
  const wanted = new Map<string, Entry>();
  /** Keys of this epoch that may be in the store. */
  let ownKeys: string[] = [];
  let writes = 0;
  let working: Promise<boolean> | undefined;

  /** Writes all entries under a new key, and removes other keys. */
  async function write(obsoleteKeys: string[]): Promise<boolean> {
    const entries = new Map([...recorded, ...wanted]);
    const queues = [...entries.values()].map(({ address }) => address);
    const added = createQueueRecords(
      partition.number,
      epoch,
      writes + 1,
      queues,
    );
    writes += added.length;
    const removals = [...ownKeys, ...obsoleteKeys].map((key): KeyedRecord => ({
      key,
      value: undefined,
    }));
    const addedKeys = added.map(({ key }) => key);
    ownKeys.push(...addedKeys);
    // The new records come first, so that no queue is ever without one.
    for (const records of splitIntoAppends([...added, ...removals])) {
      const result = await store.append(
        QUEUES_PARTITION,
        records,
        undefined,
        signal,
      );
      if (result.isOk()) continue;
      logger.warn("Cannot record the queues of a domain.", {
        partition: partition.number,
        epoch,
        fault: result.error.kind,
        cause: result.error.message,
      });
      return false;
    }
    ownKeys = addedKeys;
    for (const [text, entry] of entries) {
      recorded.set(text, entry);
      wanted.delete(text);
    }
    return true;
  }

  /** Reads the records of other domains. */
  async function readOthers(): Promise<boolean> {
    const entries = [...recorded.values()];
    const readAtMs = clock.steadyMs();
    const page = await store.newest(QUEUES_PARTITION, signal);
    if (page.isErr()) {
      logger.warn("Cannot read the queue records of other domains.", {
        partition: partition.number,
        epoch,
        fault: page.error.kind,
        cause: page.error.message,
      });
      return false;
    }
    const { records, unreadable } = parseQueueRecords(page.value.records);
    for (const key of unreadable) {
      logger.error("Skipped an unreadable queue record.", { key });
    }
    sharers.replace(records, readAtMs);
    for (const entry of entries) entry.areOthersKnown = true;
    return true;
  }

  /** Runs one piece of work at a time; joins one that is under way. */
  function startWork(work: () => Promise<boolean>): Promise<boolean> {
    working ??= work().finally(() => {
      working = undefined;
    });
    return working;
  }

  async function writeAndReadOthers(): Promise<boolean> {
    if (wanted.size > 0 && !await write([])) return false;
    return await readOthers();
  }

  return {
    async record(queue) {
      if (!isRecordable(queue)) {
        logger.error("The name of a queue is too long to be recorded.", {
          partition: partition.number,
          epoch,
        });
        return false;
      }
      const text = textOf(queue);
      const usedAtMs = clock.steadyMs();
      const known = recorded.get(text);
      if (known !== undefined) known.usedAtMs = usedAtMs;
      else wanted.set(text, createEntry(queue, usedAtMs));
      const untilMs = usedAtMs + RECORD_TIMEOUT_MS;
      while (!recorded.get(text)?.areOthersKnown) {
        const isDone = await startWork(writeAndReadOthers);
        if (signal.aborted || clock.steadyMs() >= untilMs) break;
        if (!isDone) await clock.sleep(RETRY_DELAY_MS, signal);
      }
      return recorded.get(text)?.areOthersKnown ?? false;
    },
    async replaceObsolete(stored, heldQueues) {
      await working;
      const nowMs = clock.steadyMs();
      const earlier = stored.filter((record) =>
        record.partition === partition.number && record.epoch < epoch
      );
      const earlierQueues = earlier.flatMap(({ queues }) => queues);
      const dropped = [...recorded].filter(([, { address, usedAtMs }]) =>
        !heldQueues.has(address.queue) &&
        nowMs - usedAtMs > UNUSED_ENTRY_KEEP_MS
      );
      for (const [text] of dropped) recorded.delete(text);
      const named = new Set(
        [...recorded.values()].map(({ address }) => address.queue)
          .concat(earlierQueues.map(({ queue }) => queue)),
      );
      const kept = earlierQueues.filter(({ queue }) => heldQueues.has(queue));
      // Jobs of earlier versions, whose owners wrote no such records.
      const unnamed = [...heldQueues].filter((queue) => !named.has(queue))
        .map((queue): QueueAddress => ({ queue }));
      for (const address of [...kept, ...unnamed]) {
        const text = textOf(address);
        if (recorded.has(text)) continue;
        wanted.set(text, createEntry(address, nowMs));
      }
      if (earlier.length + dropped.length + wanted.size === 0) return;
      await startWork(() => write(earlier.map(({ key }) => key)));
    },
  };
}

function createEntry(address: QueueAddress, usedAtMs: number): Entry {
  return { address, usedAtMs, areOthersKnown: false };
}

function textOf({ queue, address }: QueueAddress): string {
  return JSON.stringify([queue, address]);
}
