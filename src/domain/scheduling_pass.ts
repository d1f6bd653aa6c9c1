import { fitsInto, type Resources } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { Reservation } from "./reservations.ts";

/** What one pass keeps from one step to the next. */
export type SchedulingPass = {
  domain: Domain;
  moment: Moment;
  /** What is reserved for steps of higher rank. */
  reservations: Map<DomainWorker, Reservation>;
  /** The listed workers of a service that are not leaving. */
  workersOf(service: string): DomainWorker[];
  /** Whether no worker of a service has room for an amount any more. */
  hasNoCapacityFor(service: string, demand: Resources): boolean;
  /** Takes in that no worker of a service has room for an amount. */
  recordNoCapacity(service: string, demand: Resources): void;
};

/**
 * Creates a pass in which nothing is reserved. Room only shrinks during a
 * pass, so what has found none need not be looked for again.
 */
export function createSchedulingPass(
  domain: Domain,
  moment: Moment,
): SchedulingPass {
  const workersByService = new Map<string, DomainWorker[]>();
  for (const worker of domain.workers.values()) {
    const { listing } = worker;
    if (listing === undefined || listing.draining) continue;
    const known = workersByService.get(listing.service);
    if (known === undefined) workersByService.set(listing.service, [worker]);
    else known.push(worker);
  }
  const unplaceableDemands = new Map<string, Resources[]>();
  return {
    domain,
    moment,
    reservations: new Map(),
    workersOf: (service) => workersByService.get(service) ?? [],
    hasNoCapacityFor: (service, demand) =>
      unplaceableDemands.get(service)?.some((failedDemand) =>
        fitsInto(failedDemand, demand)
      ) ?? false,
    recordNoCapacity(service, demand) {
      const known = unplaceableDemands.get(service);
      if (known === undefined) unplaceableDemands.set(service, [demand]);
      else known.push(demand);
    },
  };
}
