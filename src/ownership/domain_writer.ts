import type { Clock, Partition, StoreHost } from "../hosts/mod.ts";
import type { DomainRecord } from "../domain/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import { currentInstant, type Instant } from "./instant.ts";

/** Delay before the first retry of an append, in milliseconds. */
const INITIAL_RETRY_DELAY_MS = 40;
/** The longest delay before a retry of an append, in milliseconds. */
const MAX_RETRY_DELAY_MS = 150;
/** The shortest time from one append to the next commit, in milliseconds. */
const MIN_COMMIT_INTERVAL_MS = 10;
/** Appends that take longer are logged, in milliseconds. */
const SLOW_APPEND_THRESHOLD_MS = 200;
/** Size limit of the records of one append; the store's limit is 2 MiB. */
const MAX_APPEND_BYTES = 1_000_000;

/** Changed records, and what to do once they are in the store. */
export type Commit = {
  records: DomainRecord[];
  onCommitted(): void;
};

/** Dependencies of a writer. */
export type DomainWriterHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  partition: Partition;
  epoch: number;
  /** The sequence number of the next append. */
  sequence: number;
  /** Takes the changes since the last commit; undefined if there are none. */
  takeChanges(): Commit | undefined;
  /** Called when another owner has a higher epoch. */
  onFenced(cause: string): void;
  signal: AbortSignal;
};

/** Writes the records of a domain. */
export type DomainWriter = {
  /** Commits the changes now, or after the append in flight. */
  requestCommit(): void;
  /** When the latest successful append was sent. */
  confirmedAt(): Instant;
  isIdle(): boolean;
  /** Age of the append in flight, in milliseconds; 0 if there is none. */
  appendAgeMs(): number;
};

/**
 * Creates the writer of a domain. One append is in flight at a time; changes
 * made in the meantime are committed with the next one. An append without an
 * answer is retried under the same sequence number, which makes it idempotent.
 *
 * @example
 * ```ts
 * const writer = createDomainWriter(host);
 * writer.requestCommit();
 * ```
 */
export function createDomainWriter(host: DomainWriterHost): DomainWriter {
  let isRunning = false;
  let sentAtMs = -Infinity;
  let confirmedAt = currentInstant(host.clock);
  let appendingSinceMs: number | undefined;
  let { sequence } = host;

  async function commitChanges(): Promise<void> {
    isRunning = true;
    while (!host.signal.aborted) {
      const gapMs = sentAtMs + MIN_COMMIT_INTERVAL_MS - host.clock.steadyMs();
      if (gapMs > 0) await host.clock.sleep(gapMs, host.signal);
      const commit = host.takeChanges();
      if (commit === undefined) break;
      for (const chunk of splitIntoChunks(commit.records)) {
        if (!await append(chunk)) return;
      }
      commit.onCommitted();
    }
    isRunning = false;
  }

  async function append(records: DomainRecord[]): Promise<boolean> {
    const { store, clock, partition, epoch, signal } = host;
    appendingSinceMs = clock.steadyMs();
    sentAtMs = appendingSinceMs;
    for (let tries = 0; !signal.aborted; tries += 1) {
      const sentAt = currentInstant(clock);
      const fence = { epoch, sequence };
      const result = await store.append(partition, records, fence, signal);
      const elapsedMs = clock.steadyMs() - sentAt.steadyMs;
      if (result.isOk()) {
        sequence += 1;
        appendingSinceMs = undefined;
        confirmedAt = sentAt;
        host.counters.observe("append_ms", elapsedMs);
        if (elapsedMs > SLOW_APPEND_THRESHOLD_MS) {
          logSlowAppend(records.length, elapsedMs);
        }
        return true;
      }
      const fault = result.error;
      host.counters.count("append_faults", { kind: fault.kind });
      host.logger.warn("An append failed.", {
        epoch,
        sequence,
        tries,
        fault: fault.kind,
        cause: fault.message,
        elapsedMs: Math.round(elapsedMs),
      });
      if (fault.kind === "fenced") {
        host.onFenced(fault.message);
        return false;
      }
      if (fault.kind === "sequence" && fault.expectedSequence !== undefined) {
        sequence = fault.expectedSequence;
      }
      await clock.sleep(retryDelayMs(tries), signal);
    }
    return false;
  }

  function logSlowAppend(records: number, elapsedMs: number): void {
    host.logger.info("An append was slow.", {
      epoch: host.epoch,
      sequence,
      records,
      elapsedMs: Math.round(elapsedMs),
    });
  }

  return {
    requestCommit() {
      if (!isRunning) commitChanges();
    },
    confirmedAt: () => confirmedAt,
    isIdle: () => !isRunning,
    appendAgeMs: () =>
      appendingSinceMs === undefined
        ? 0
        : host.clock.steadyMs() - appendingSinceMs,
  };
}

function retryDelayMs(tries: number): number {
  return Math.min(INITIAL_RETRY_DELAY_MS * 2 ** tries, MAX_RETRY_DELAY_MS);
}

/** Splits records into chunks of at most MAX_APPEND_BYTES. */
function* splitIntoChunks(records: DomainRecord[]): Generator<DomainRecord[]> {
  let chunk: DomainRecord[] = [];
  let chunkBytes = 0;
  for (const record of records) {
    const recordBytes = record.key.length + (record.value?.length ?? 0);
    if (chunk.length > 0 && chunkBytes + recordBytes > MAX_APPEND_BYTES) {
      yield chunk;
      chunk = [];
      chunkBytes = 0;
    }
    chunk.push(record);
    chunkBytes += recordBytes;
  }
  if (chunk.length > 0) yield chunk;
}
