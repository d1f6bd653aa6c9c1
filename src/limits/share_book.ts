import type { Resources } from "../model/mod.ts";

/** What one instance of the own zone has waiting and running by agreement. */
export type UsageDigest = {
  instance: string;
  demand: Map<string, Resources>;
};

/**
 * The last known figures from which shares are cut. What is not heard any
 * more stays as it was, so an instance that is cut off keeps its shares.
 */
export type ShareBook = {
  /** Capacity by zone. */
  zones: Map<string, Resources>;
  /** Demand by instance of the own zone and by agreement. */
  demands: Map<string, Map<string, Resources>>;
};

/**
 * Creates a book without figures.
 *
 * @example
 * ```ts
 * const book = createShareBook();
 * ```
 */
export function createShareBook(): ShareBook {
  return { zones: new Map(), demands: new Map() };
}

/**
 * Notes a zone's capacity; the latest figure holds.
 *
 * @example
 * ```ts
 * noteZoneCapacity(book, "kigali", capacity);
 * ```
 */
export function noteZoneCapacity(
  book: ShareBook,
  zone: string,
  capacity: Resources,
): void {
  book.zones.set(zone, capacity);
}

/**
 * Notes what an instance of the own zone has waiting and running.
 *
 * @example
 * ```ts
 * noteUsage(book, { instance: "kigali-2", demand });
 * ```
 */
export function noteUsage(book: ShareBook, digest: UsageDigest): void {
  book.demands.set(digest.instance, digest.demand);
}

/**
 * Forgets an instance that is settled or has left for good; its part goes to
 * the others.
 *
 * @example
 * ```ts
 * forgetUsage(book, "kigali-2");
 * ```
 */
export function forgetUsage(book: ShareBook, instance: string): void {
  book.demands.delete(instance);
}
