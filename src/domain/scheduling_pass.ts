import { fitsInto, type Resources } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { Reservation } from "./reservations.ts";

/** The state of one scheduling pass, shared by the steps that it handles. */
export type SchedulingPass = {
  domain: Domain;
  moment: Moment;
  /** Capacity reserved for steps of higher rank. */
  reservations: Map<DomainWorker, Reservation>;
  /** Returns the listed workers of a service that are not draining. */
  workersOf(service: string): DomainWorker[];
  /** Whether an earlier step found no worker with capacity for the demand. */
  hasNoCapacityFor(service: string, demand: Resources): boolean;
  /** Records that no worker of a service has free capacity for a demand. */
  recordNoCapacity(service: string, demand: Resources): void;
};

/**
 * Creates a pass without reservations. Free capacity only shrinks during a
 * pass, so a demand that no worker could take is not searched for again; this
 * keeps a pass over a long backlog cheap.
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
