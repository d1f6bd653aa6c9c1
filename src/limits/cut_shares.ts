import {
  type Manifest,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type ResourceName,
  type Resources,
} from "../model/mod.ts";
import type { ShareBook } from "./share_book.ts";

/** The part of a zone's budget that is cut evenly, whatever the demand. */
const EVEN_PART = 0.1;

/**
 * Cuts each agreement's share down to what one instance may use: by zone in
 * proportion to the zones' capacities, then by instance in proportion to
 * demand, with a small even part, so that an idle instance can start at once.
 *
 * Where all instances have the same figures, their parts add up to the share
 * at most.
 *
 * @example
 * ```ts
 * const shares = cutShares(book, manifest, { zone: "kigali", id: "kigali-1" });
 * ```
 *
 * @returns the budget of the instance by agreement
 */
export function cutShares(
  book: ShareBook,
  manifest: Manifest,
  self: { zone: string; id: string },
): Map<string, Resources> {
  const shares = new Map<string, Resources>();
  for (const agreement of manifest.agreements) {
    const budget = { ...NO_RESOURCES };
    for (const name of RESOURCE_NAMES) {
      const part = zonePart(book, self.zone, name) *
        instancePart(book, self.id, agreement.name, name);
      budget[name] = Math.floor(agreement.share[name] * part + ROUNDING);
    }
    shares.set(agreement.name, budget);
  }
  return shares;
}

/** Keeps a whole budget from losing a unit to floating point. */
const ROUNDING = 1e-9;

function zonePart(book: ShareBook, zone: string, name: ResourceName): number {
  const own = book.zones.get(zone)?.[name] ?? 0;
  const zones = [...book.zones.values()];
  const total = zones.reduce((sum, capacity) => sum + capacity[name], 0);
  return total === 0 ? 0 : own / total;
}

function instancePart(
  book: ShareBook,
  instance: string,
  agreement: string,
  name: ResourceName,
): number {
  const instances = new Set([...book.demands.keys(), instance]);
  const demandOf = (id: string) =>
    book.demands.get(id)?.get(agreement)?.[name] ?? 0;
  const total = [...instances].reduce((sum, id) => sum + demandOf(id), 0);
  const even = 1 / instances.size;
  if (total === 0) return even;
  return EVEN_PART * even + (1 - EVEN_PART) * demandOf(instance) / total;
}
