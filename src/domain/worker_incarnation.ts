/**
 * Which incarnation of a worker a fact belongs to. A worker may start again under
 * its id, with other labels, another capacity, or in another service. Its reports
 * name their incarnation; the rest stands in its entry in the worker list, which
 * follows later or comes before the first report. Nothing that an incarnation has
 * said holds for another one.
 *
 * @module
 */
import type { DomainWorker } from "./domain_worker.ts";
import type { WorkerListing } from "./worker_listing.ts";

/** Of an incarnation that no entry, report or record has named. */
export const UNKNOWN_BORN_MS = 0;

/** The entry of a worker, unless it is known to be of another incarnation. */
export function listingOfIncarnation(
  { listing }: Pick<DomainWorker, "listing">,
  bornMs: number,
): WorkerListing | undefined {
  if (listing === undefined) return undefined;
  return mayBeSame(listing.bornMs, bornMs) ? listing : undefined;
}

/**
 * The entry of the incarnation that has reported last. Without it, nothing is
 * known of what the worker may run, so that it gets no start.
 */
export function currentListing(
  worker: DomainWorker,
): WorkerListing | undefined {
  return listingOfIncarnation(worker, worker.bornMs);
}

/** Whether a listed worker drains, as far as its present incarnation has said. */
export function isDraining(worker: DomainWorker): boolean {
  return currentListing(worker)?.draining === true;
}

/**
 * Whether the last entry of a worker, which may have left the list since, said
 * that its present incarnation drains.
 */
export function wasDraining({ lastListing, bornMs }: DomainWorker): boolean {
  return lastListing?.draining === true &&
    mayBeSame(lastListing.bornMs, bornMs);
}

/**
 * Whether an entry is of an earlier incarnation than the one that is known: the
 * last write of a worker that has crashed may take effect late. The time of day
 * of a worker may have been set back, so the order of its reports goes first.
 */
export function isOutdatedListing(
  { lastListing, formerBornMs }: DomainWorker,
  { bornMs }: WorkerListing,
): boolean {
  if (lastListing === undefined) return false;
  if (formerBornMs !== UNKNOWN_BORN_MS) {
    if (bornMs === formerBornMs) return true;
    if (lastListing.bornMs === formerBornMs) return false;
  }
  return bornMs < lastListing.bornMs;
}

/** Facts that name no incarnation may be of any. */
function mayBeSame(left: number, right: number): boolean {
  return left === right || left === UNKNOWN_BORN_MS ||
    right === UNKNOWN_BORN_MS;
}
