import { fitsInto, type Resources } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { ExpectedRelease, Reservation } from "./reservations.ts";

/** The state of one scheduling pass, shared by the steps that it handles. */
export type SchedulingPass = {
  domain: Domain;
  moment: Moment;
  /** Capacity reserved for steps of higher rank. */
  reservations: Map<DomainWorker, Reservation>;
  /** Releases expected of the tasks on a worker; deleted when one is placed. */
  releases: Map<DomainWorker, ExpectedRelease[]>;
  /** Returns the listed workers of a service that are not draining. */
  workersOf(service: string): DomainWorker[];
  /** Whether an earlier step found no capacity for as many tasks of a demand. */
  hasNoCapacityFor(service: string, demand: Resources, tasks: number): boolean;
  /** Records that the workers of a service cannot hold some tasks of a demand. */
  recordNoCapacity(service: string, demand: Resources, tasks: number): void;
};

/** Tasks for which there is no free capacity. */
type UnplaceableTasks = { demand: Resources; tasks: number };

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
  const unplaceable = new Map<string, UnplaceableTasks[]>();
  return {
    domain,
    moment,
    reservations: new Map(),
    workersOf: (service) => workersByService.get(service) ?? [],
    releases: new Map(),
    hasNoCapacityFor: (service, demand, tasks) =>
      unplaceable.get(service)?.some((failed) =>
        failed.tasks <= tasks && fitsInto(failed.demand, demand)
      ) ?? false,
    recordNoCapacity(service, demand, tasks) {
      const known = unplaceable.get(service);
      if (known === undefined) unplaceable.set(service, [{ demand, tasks }]);
      else known.push({ demand, tasks });
    },
  };
}
