import {
  type Clock,
  type Partition,
  recordBytes,
  type StoreFault,
  type StoreHost,
} from "../hosts/mod.ts";
import type { DomainRecord } from "../domain/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import { createAppendContent } from "./append_content.ts";
import { currentInstant, type Instant } from "./instant.ts";
import { splitIntoAppends } from "./split_into_appends.ts";

/** Delay before the first retry of an append, in milliseconds. */
const INITIAL_RETRY_DELAY_MS = 40;
/** The longest delay before a retry of an append, in milliseconds. */
const MAX_RETRY_DELAY_MS = 150;
/** The shortest time from one append to the next commit, in milliseconds. */
const MIN_COMMIT_INTERVAL_MS = 10;
/**
 * The shortest time from one append to the next while it has no answer, in ms.
 * A healthy store answers within this time, so that appends are not split.
 */
const MIN_PIPELINE_INTERVAL_MS = 45;
/**
 * The store executes the appends of a partition one after the other, so more of
 * them would only wait there. It remembers the answers of five for retries.
 */
const MAX_APPENDS_IN_FLIGHT = 3;
/** How often the writer checks whether it may send, in milliseconds. */
const MAX_SEND_DELAY_MS = 1_000;
/** Appends that take longer are logged, in milliseconds. */
const SLOW_APPEND_THRESHOLD_MS = 200;

/** At most this many rejected keys are logged at a time. */
const MAX_LOGGED_KEYS = 5;

/** Changed records, and what to do once they are in the store. */
export type Commit = {
  records: DomainRecord[];
  /** @param rejected the records that the store never accepts */
  onCommitted(rejected: DomainRecord[]): void;
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
  /** When the append that raised the epoch was first sent. */
  epochRaisedAt: Instant;
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
  /** When the latest successful append was first sent. */
  confirmedAt(): Instant;
  isIdle(): boolean;
  /** Age of the append in flight, in milliseconds; 0 if there is none. */
  appendAgeMs(): number;
};

/** What has become of an append and of all earlier ones. */
type AppendOutcome =
  | { kind: "stored"; rejected: DomainRecord[] }
  /** The writer has ended; what the store has is not known. */
  | { kind: "abandoned" };

/** An append that the store has not confirmed. */
type AppendInFlight = {
  sentAtMs: number;
  /** Resolves after all earlier appends. */
  done: Promise<AppendOutcome>;
};

/**
 * Creates the writer of a domain. While an append has no answer, changes made in
 * the meantime are sent with the next one after a pause, a few at a time. The
 * sequence numbers keep them in order: the store refuses an append that arrives
 * before its predecessor, and it is then sent again. An append without an answer
 * is retried under the same sequence number, which makes it idempotent. An append
 * that the store rejects for good is sent again without the records at fault, so
 * that the appends behind it are not held up.
 *
 * @example
 * ```ts
 * const writer = createDomainWriter(host);
 * writer.requestCommit();
 * ```
 */
export function createDomainWriter(host: DomainWriterHost): DomainWriter {
  const { clock, signal } = host;
  const inFlight: AppendInFlight[] = [];
  let isRunning = false;
  let sentAtMs = -Infinity;
  let confirmedAt = host.epochRaisedAt;
  let lastAppendMs = 0;
  let nextSequence = host.sequence;
  /** The keys of the rejected records that were logged last. */
  let loggedRejection = "";

  async function commitChanges(): Promise<void> {
    isRunning = true;
    while (!signal.aborted) {
      const delayMs = nextSendDelayMs();
      if (delayMs > 0) {
        const answered = inFlight[0]?.done ?? new Promise<never>(() => {});
        await Promise.race([clock.sleep(delayMs, signal), answered]);
        continue;
      }
      const commit = host.takeChanges();
      if (commit === undefined) break;
      const chunks = [...splitIntoAppends(commit.records)];
      if (chunks.length <= 1) sendCommit(commit);
      else await sendLargeCommit(commit, chunks);
    }
    isRunning = false;
  }

  /** Time until the next append may be sent; it may end with an answer. */
  function nextSendDelayMs(): number {
    const sinceSentMs = clock.steadyMs() - sentAtMs;
    if (inFlight.length === 0) return MIN_COMMIT_INTERVAL_MS - sinceSentMs;
    if (inFlight.length >= MAX_APPENDS_IN_FLIGHT) return MAX_SEND_DELAY_MS;
    const intervalMs = Math.max(
      MIN_PIPELINE_INTERVAL_MS,
      lastAppendMs / MAX_APPENDS_IN_FLIGHT,
    );
    return intervalMs - sinceSentMs;
  }

  /** Sends the records of a commit, and completes it in order. */
  async function sendCommit({ records, onCommitted }: Commit): Promise<void> {
    const previous = lastAppend();
    const outcome = records.length === 0
      ? await previous
      : await sendAppend(records, previous);
    if (outcome.kind === "abandoned") return;
    onCommitted(records.length === 0 ? [] : outcome.rejected);
  }

  /** Sends a commit that takes several appends, with nothing in between. */
  async function sendLargeCommit(
    commit: Commit,
    chunks: DomainRecord[][],
  ): Promise<void> {
    const rejected: DomainRecord[] = [];
    for (const chunk of chunks) {
      const outcome = await sendAppend(chunk, lastAppend());
      if (outcome.kind === "abandoned") return;
      rejected.push(...outcome.rejected);
    }
    commit.onCommitted(rejected);
  }

  function lastAppend(): Promise<AppendOutcome> {
    const last = inFlight.at(-1)?.done;
    return last ?? Promise.resolve({ kind: "stored", rejected: [] });
  }

  function sendAppend(
    records: DomainRecord[],
    previous: Promise<AppendOutcome>,
  ): Promise<AppendOutcome> {
    sentAtMs = clock.steadyMs();
    const sequence = nextSequence++;
    const done = append(records, sequence, previous).then((outcome) => {
      inFlight.splice(inFlight.indexOf(flight), 1);
      return outcome;
    });
    const flight = { sentAtMs, done };
    inFlight.push(flight);
    return done;
  }

  /** Appends records; resolves after all earlier appends. */
  async function append(
    records: DomainRecord[],
    sequence: number,
    previous: Promise<AppendOutcome>,
  ): Promise<AppendOutcome> {
    const { store, partition, epoch } = host;
    const fence = { epoch, sequence };
    const content = createAppendContent(records);
    const finish = async (): Promise<AppendOutcome> => {
      const { kind } = await previous;
      return kind === "stored"
        ? { kind, rejected: content.rejected() }
        : { kind };
    };
    let isPredecessorStored = false;
    // The store repeats its first answer to an append that is sent again.
    const firstSentAt = currentInstant(clock);
    for (let tries = 0; !signal.aborted; tries += 1) {
      const sentAtMs = clock.steadyMs();
      const sent = content.remaining();
      const result = await store.append(partition, sent, fence, signal);
      const elapsedMs = clock.steadyMs() - sentAtMs;
      if (result.isOk()) {
        if (firstSentAt.steadyMs > confirmedAt.steadyMs) {
          confirmedAt = firstSentAt;
        }
        lastAppendMs = elapsedMs;
        host.counters.observe("append_ms", elapsedMs);
        if (elapsedMs > SLOW_APPEND_THRESHOLD_MS) {
          logSlowAppend(records.length, sequence, elapsedMs);
        }
        return await finish();
      }
      const fault = result.error;
      const { expectedSequence = sequence } = fault;
      // Only this writer uses the epoch, so an earlier try has succeeded.
      if (expectedSequence > sequence) return await finish();
      if (expectedSequence < sequence && !isPredecessorStored) {
        host.counters.count("appends_ahead_of_predecessor");
        if ((await previous).kind === "abandoned") break;
        isPredecessorStored = true;
        continue;
      }
      host.counters.count("append_faults", { kind: fault.kind });
      if (fault.kind === "rejected" && content.omit(fault)) {
        logRejection(content.rejected(), sequence, fault);
        continue;
      }
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
        break;
      }
      await clock.sleep(retryDelayMs(tries), signal);
    }
    return { kind: "abandoned" };
  }

  function logRejection(
    rejected: DomainRecord[],
    sequence: number,
    { message }: StoreFault,
  ): void {
    const keys = rejected.map(({ key }) => key).join(", ");
    if (keys === loggedRejection) return;
    loggedRejection = keys;
    host.counters.count("rejected_records");
    host.logger.error("The store rejects records for good; others go on.", {
      epoch: host.epoch,
      sequence,
      records: rejected.length,
      largest: rejected.slice(0, MAX_LOGGED_KEYS).map((record) =>
        `${record.key}: ${recordBytes(record)} bytes`
      ).join(", "),
      cause: message,
    });
  }

  function logSlowAppend(
    records: number,
    sequence: number,
    elapsedMs: number,
  ): void {
    host.logger.info("An append was slow.", {
      epoch: host.epoch,
      sequence,
      records,
      inFlight: inFlight.length,
      elapsedMs: Math.round(elapsedMs),
    });
  }

  return {
    requestCommit() {
      if (!isRunning) commitChanges();
    },
    confirmedAt: () => confirmedAt,
    isIdle: () => !isRunning && inFlight.length === 0,
    appendAgeMs() {
      const oldest = inFlight[0];
      return oldest === undefined ? 0 : clock.steadyMs() - oldest.sentAtMs;
    },
  };
}

function retryDelayMs(tries: number): number {
  return Math.min(INITIAL_RETRY_DELAY_MS * 2 ** tries, MAX_RETRY_DELAY_MS);
}
