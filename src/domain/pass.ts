import { fitsInto, type Resources } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { Reservation } from "./reservations.ts";

/** What one pass keeps from one step to the next. */
export type Pass = {
  domain: Domain;
  moment: Moment;
  /** What is reserved for steps of higher rank. */
  reservations: Map<DomainWorker, Reservation>;
  /** The listed workers of a service that are not leaving. */
  workersOf(service: string): DomainWorker[];
  /** Whether no worker of a service has room for an amount any more. */
  isFullFor(service: string, demand: Resources): boolean;
  /** Takes in that no worker of a service has room for an amount. */
  noteFull(service: string, demand: Resources): void;
};

/**
 * Creates a pass in which nothing is reserved. Room only shrinks during a
 * pass, so what has found none need not be looked for again.
 */
export function createPass(domain: Domain, moment: Moment): Pass {
  const workers = new Map<string, DomainWorker[]>();
  for (const worker of domain.workers.values()) {
    const { listing } = worker;
    if (listing === undefined || listing.draining) continue;
    const known = workers.get(listing.service);
    if (known === undefined) workers.set(listing.service, [worker]);
    else known.push(worker);
  }
  const full = new Map<string, Resources[]>();
  return {
    domain,
    moment,
    reservations: new Map(),
    workersOf: (service) => workers.get(service) ?? [],
    isFullFor: (service, demand) =>
      full.get(service)?.some((found) => fitsInto(found, demand)) ?? false,
    noteFull(service, demand) {
      const known = full.get(service);
      if (known === undefined) full.set(service, [demand]);
      else known.push(demand);
    },
  };
}
