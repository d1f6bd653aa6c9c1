import type { WorkerListing } from "../domain/mod.ts";
import type { Clock, KeyedRecord } from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";

/** A silent worker is dropped from the list after three heartbeats. */
const DROPPED_AFTER_HEARTBEATS = 2.5;
/**
 * Removals are no evidence for this many heartbeats after the list could not
 * be read: entries lapse while the store is away, some of them after its
 * return.
 */
const RECOVERY_HEARTBEATS = 6;

/** The platform's list of workers as this instance last read it. */
export type WorkerList = {
  workers(): WorkerListing[];
  /**
   * Whether a worker took itself off the list as planned, rather than being
   * dropped: it has ended, and so has all that it ran.
   */
  hasLeft(id: string): boolean;
  /** Takes in that the list could not be read. */
  recordReadFailure(): void;
  /** Takes in records of the list; a record without a value removes one. */
  apply(records: KeyedRecord[]): void;
  /** Replaces the whole list. */
  replace(records: KeyedRecord[]): void;
  /** Calls back after each change; ends with the signal. */
  subscribe(onChange: () => void, signal: AbortSignal): void;
};

/** Reads a listing out of a record; undefined where it names no worker. */
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
  /** When each worker was last heard of, on the steady clock. */
  const lastReportAtMs = new Map<string, number>();
  const shutDown = new Set<string>();
  const subscribers = new Set<() => void>();
  let lastReadFailureAtMs = -Infinity;

  /** Whether a removal tells that the worker has ended. */
  function indicatesShutdown(known: WorkerListing): boolean {
    const nowMs = clock.steadyMs();
    const silentMs = nowMs - (lastReportAtMs.get(known.id) ?? -Infinity);
    // Every planned end is preceded by a report that the worker drains.
    return known.draining &&
      silentMs < heartbeatMs * DROPPED_AFTER_HEARTBEATS &&
      nowMs - lastReadFailureAtMs > heartbeatMs * RECOVERY_HEARTBEATS;
  }

  function applyRecords(records: KeyedRecord[]): boolean {
    let changed = false;
    for (const { key, value } of records) {
      changed = applyRecord(key, value) || changed;
    }
    return changed;
  }

  function applyRecord(id: string, value: string | undefined): boolean {
    const known = workers.get(id);
    if (value === undefined) {
      if (known === undefined) return false;
      workers.delete(id);
      if (indicatesShutdown(known)) shutDown.add(id);
      const silentMs = clock.steadyMs() - (lastReportAtMs.get(id) ?? -Infinity);
      logger.info("A worker was removed from the worker list.", {
        worker: id,
        draining: known.draining,
        silentMs: Math.round(silentMs),
        ended: shutDown.has(id),
      });
      return true;
    }
    const decoded = decode(id, value);
    if ("reason" in decoded) {
      logger.warn("Skipped an entry of the worker list.", {
        worker: id,
        reason: decoded.reason,
      });
      return false;
    }
    const { listing } = decoded;
    workers.set(id, listing);
    lastReportAtMs.set(id, clock.steadyMs());
    shutDown.delete(id);
    if (known === undefined || differs(known, listing)) {
      logger.info("The worker list changed.", {
        worker: id,
        service: listing.service,
        draining: listing.draining,
        bornMs: listing.bornMs,
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
    hasLeft: (id) => shutDown.has(id),
    recordReadFailure() {
      lastReadFailureAtMs = clock.steadyMs();
    },
    apply(records) {
      if (applyRecords(records)) notify();
    },
    replace(records) {
      workers = new Map();
      applyRecords(records);
      notify();
    },
    subscribe(onChange, signal) {
      subscribers.add(onChange);
      signal.addEventListener("abort", () => subscribers.delete(onChange));
    },
  };
}

function differs(left: WorkerListing, right: WorkerListing): boolean {
  return left.draining !== right.draining || left.address !== right.address ||
    left.bornMs !== right.bornMs || left.service !== right.service;
}
