import { isDeepStrictEqual } from "node:util";
import type { WorkerListing } from "../domain/mod.ts";
import type { Clock, KeyedRecord } from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/**
 * A worker that was silent for longer than this may have been dropped, which
 * the platform does after three missed heartbeats.
 */
const DROPPED_AFTER_HEARTBEATS = 2.5;
/**
 * Removals do not prove a shutdown for this many heartbeats after a failed read
 * of the list: entries expire during an outage of the store, and some of them
 * only after its end.
 */
const RECOVERY_HEARTBEATS = 6;

/** How many entries that were left out are remembered. */
const MAX_SKIPPED = 1_000;

/** The platform's list of workers, as this instance last read it. */
export type WorkerList = {
  workers(): WorkerListing[];
  /** Whether the whole list has been read once. */
  hasBeenRead(): boolean;
  /**
   * Whether a worker was removed from the list by a planned shutdown, rather
   * than dropped: the worker and all its tasks have ended.
   */
  hasLeft(id: string): boolean;
  /** Records that the list could not be read. */
  recordReadFailure(): void;
  /** Applies records of the list; a record without a value removes a worker. */
  apply(records: KeyedRecord[]): void;
  /** Replaces the whole list. */
  replace(records: KeyedRecord[]): void;
  /** Subscribes to changes until the signal aborts. */
  subscribe(onChange: () => void, signal: AbortSignal): void;
};

/** Decodes the record of a worker, or returns why it is invalid. */
export type ListingDecoder = (
  id: string,
  text: string,
) => { listing: WorkerListing } | { reason: string };

/**
 * Creates an empty list.
 *
 * @example
 * ```ts
 * const list = createWorkerList(decodeWorker, logger, clock, 1_500);
 * list.subscribe(() => update(list.workers()), signal);
 * ```
 */
export function createWorkerList(
  decode: ListingDecoder,
  logger: PartLogger,
  clock: Clock,
  heartbeatMs: number,
): WorkerList {
  let workers = new Map<string, WorkerListing>();
  /**
   * The time after which each worker has written its last record, on the steady
   * clock: that of the read before the one that returned it.
   */
  const lastWrittenAfterMs = new Map<string, number>();
  let lastReadAtMs = -Infinity;
  const shutDown = new Set<string>();
  /** Why entries were left out, by id, so that repeats are not logged. */
  const skipped = new Map<string, string>();
  const subscribers = new Set<() => void>();
  let lastReadFailureAtMs = -Infinity;
  let hasBeenRead = false;

  /** The longest time for which a worker may have written no record. */
  function maxSilentMs(id: string): number {
    return clock.steadyMs() - (lastWrittenAfterMs.get(id) ?? -Infinity);
  }

  /** Whether the removal of a worker proves that it has shut down. */
  function indicatesShutdown({ id, draining }: WorkerListing): boolean {
    // Before a planned shutdown, every worker reports that it is draining.
    return draining &&
      maxSilentMs(id) < heartbeatMs * DROPPED_AFTER_HEARTBEATS &&
      clock.steadyMs() - lastReadFailureAtMs >
        heartbeatMs * RECOVERY_HEARTBEATS;
  }

  /** Applies records that were written after a time, on the steady clock. */
  function applyRecords(
    records: KeyedRecord[],
    writtenAfterMs: number,
  ): boolean {
    lastReadAtMs = clock.steadyMs();
    let changed = false;
    for (const { key, value } of records) {
      changed = applyRecord(key, value, writtenAfterMs) || changed;
    }
    return changed;
  }

  function applyRecord(
    id: string,
    value: string | undefined,
    writtenAfterMs: number,
  ): boolean {
    const known = workers.get(id);
    if (value === undefined) {
      skipped.delete(id);
      if (known === undefined) return false;
      workers.delete(id);
      if (indicatesShutdown(known)) shutDown.add(id);
      logger.info("A worker was removed from the worker list.", {
        worker: id,
        draining: known.draining,
        silentMs: Math.round(maxSilentMs(id)),
        ended: shutDown.has(id),
      });
      return true;
    }
    const decoded = decode(id, value);
    if ("reason" in decoded) {
      const { reason } = decoded;
      if (skipped.get(id) !== reason) {
        logger.warn("Skipped an entry of the worker list.", {
          worker: id,
          reason,
        });
      }
      if (skipped.size < MAX_SKIPPED) skipped.set(id, reason);
      return false;
    }
    skipped.delete(id);
    const { listing } = decoded;
    workers.set(id, listing);
    lastWrittenAfterMs.set(id, writtenAfterMs);
    shutDown.delete(id);
    if (known === undefined || differs(known, listing)) {
      logger.info("The worker list changed.", {
        worker: id,
        service: listing.service,
        draining: listing.draining,
        bornMs: listing.bornMs,
        ...listing.capacity,
      });
      return true;
    }
    return false;
  }

  function notify(): void {
    for (const subscriber of subscribers) subscriber();
  }

  return {
    workers: () => [...workers.values()],
    hasBeenRead: () => hasBeenRead,
    hasLeft: (id) => shutDown.has(id),
    recordReadFailure() {
      lastReadFailureAtMs = clock.steadyMs();
    },
    apply(records) {
      if (applyRecords(records, lastReadAtMs)) notify();
    },
    replace(records) {
      hasBeenRead = true;
      workers = new Map();
      applyRecords(records, -Infinity);
      notify();
    },
    subscribe(onChange, signal) {
      subscribers.add(onChange);
      signal.addEventListener("abort", () => subscribers.delete(onChange));
    },
  };
}

function differs(left: WorkerListing, right: WorkerListing): boolean {
  return !isDeepStrictEqual(left, right);
}
