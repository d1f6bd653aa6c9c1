import type { KeyedRecord } from "../hosts/mod.ts";
import type { DomainOwnerHost } from "./domain_owner_host.ts";
import {
  createQueueRecord,
  type QueueAddress,
  type QueueRecord,
  QUEUES_PARTITION,
} from "./queue_records.ts";

/** Delay before a failed write is repeated, in milliseconds. */
const RETRY_DELAY_MS = 100;
/** How long a call waits for the record of its queue, in milliseconds. */
const RECORD_TIMEOUT_MS = 800;
/** An entry is kept for this time after its last use, in milliseconds. */
const UNUSED_ENTRY_KEEP_MS = 60_000;

/** Dependencies of a queue recorder. */
export type QueueRecorderHost = Pick<
  DomainOwnerHost,
  "store" | "clock" | "logger" | "partition" | "epoch" | "signal"
>;

/** Writes the queue records of a domain's owner. */
export type QueueRecorder = {
  /**
   * Waits until the store has a record that names a queue.
   *
   * @returns whether it has one
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

type Entry = { address: QueueAddress; usedAtMs: number };

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
  const { store, clock, logger, partition, epoch, signal } = host;
  /** Entries that a record in the store names, by their text. */
  const recorded = new Map<string, Entry>();
  /** Entries that the next write adds, by their text. */
  const wanted = new Map<string, Entry>();
  /** Keys of this epoch that may be in the store. */
  let ownKeys: string[] = [];
  let writes = 0;
  let writing: Promise<boolean> | undefined;

  /** Writes all entries under a new key, and removes other keys. */
  async function write(obsoleteKeys: string[]): Promise<boolean> {
    const entries = new Map([...recorded, ...wanted]);
    const queues = [...entries.values()].map(({ address }) => address);
    const record = createQueueRecord(partition.number, epoch, ++writes, queues);
    const removals = [...ownKeys, ...obsoleteKeys].map((key): KeyedRecord => ({
      key,
      value: undefined,
    }));
    const isEmpty = queues.length === 0;
    const records = isEmpty ? removals : [record, ...removals];
    ownKeys.push(record.key);
    const result = await store.append(
      QUEUES_PARTITION,
      records,
      undefined,
      signal,
    );
    if (result.isErr()) {
      logger.warn("Cannot record the queues of a domain.", {
        partition: partition.number,
        epoch,
        fault: result.error.kind,
        cause: result.error.message,
      });
      return false;
    }
    ownKeys = isEmpty ? [] : [record.key];
    for (const [text, entry] of entries) {
      recorded.set(text, entry);
      wanted.delete(text);
    }
    return true;
  }

  /** Runs one write at a time; joins a write that is under way. */
  function startWrite(obsoleteKeys: string[] = []): Promise<boolean> {
    writing ??= write(obsoleteKeys).finally(() => {
      writing = undefined;
    });
    return writing;
  }

  return {
    async record(queue) {
      const text = textOf(queue);
      const usedAtMs = clock.steadyMs();
      const known = recorded.get(text);
      if (known !== undefined) {
        known.usedAtMs = usedAtMs;
        return true;
      }
      wanted.set(text, { address: queue, usedAtMs });
      const untilMs = usedAtMs + RECORD_TIMEOUT_MS;
      while (!recorded.has(text)) {
        const isWritten = await startWrite();
        if (signal.aborted || clock.steadyMs() >= untilMs) break;
        if (!isWritten) await clock.sleep(RETRY_DELAY_MS, signal);
      }
      return recorded.has(text);
    },
    async replaceObsolete(stored, heldQueues) {
      await writing;
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
        wanted.set(text, { address, usedAtMs: nowMs });
      }
      if (earlier.length + dropped.length + wanted.size === 0) return;
      await startWrite(earlier.map(({ key }) => key));
    },
  };
}

function textOf({ queue, address }: QueueAddress): string {
  return JSON.stringify([queue, address]);
}
