import type { Clock, Partition, StoreHost } from "../hosts/mod.ts";
import type { DomainRecord } from "../domain/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import { currentInstant, type Instant } from "./instant.ts";

/** First pause before an append is repeated, in milliseconds. */
const INITIAL_RETRY_DELAY_MS = 40;
/** The longest pause before an append is repeated, in milliseconds. */
const MAX_RETRY_DELAY_MS = 150;
/** Least time from one commit to the next, in milliseconds. */
const MIN_COMMIT_INTERVAL_MS = 10;
/** An append that takes longer is reported, in milliseconds. */
const SLOW_APPEND_THRESHOLD_MS = 200;
/** The most bytes of records in one append; a call may hold 2 MiB. */
const MAX_APPEND_BYTES = 1_000_000;

/** What may leave once the records before it are in the store. */
export type Commit = {
  records: DomainRecord[];
  onCommitted(): void;
};

/** What a writer needs. */
export type DomainWriterHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  partition: Partition;
  epoch: number;
  /** The sequence number of the next append. */
  sequence: number;
  /** Takes what has changed since the last commit; undefined for nothing. */
  takeChanges(): Commit | undefined;
  /** Another owner has a higher epoch. */
  onFenced(cause: string): void;
  signal: AbortSignal;
};

/** Writes the records of a domain. */
export type DomainWriter = {
  /** Commits what has changed, now or after the append in flight. */
  requestCommit(): void;
  /** When an append was sent that the store has confirmed, the latest. */
  confirmedAt(): Instant;
  isIdle(): boolean;
  /** How long the append in flight has had no answer, in milliseconds. */
  stalledMs(): number;
};

/**
 * Creates the writer of a domain. One append is in flight at a time; what
 * changes meanwhile leaves with the next. An append without an answer is
 * repeated under the same sequence number, which has no second effect.
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
    stalledMs: () =>
      appendingSinceMs === undefined
        ? 0
        : host.clock.steadyMs() - appendingSinceMs,
  };
}

function retryDelayMs(tries: number): number {
  return Math.min(INITIAL_RETRY_DELAY_MS * 2 ** tries, MAX_RETRY_DELAY_MS);
}

/** Splits records into appends of a bounded size. */
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
