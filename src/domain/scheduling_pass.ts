import { fitsInto, type Resources } from "../model/mod.ts";
import { type AccountLimits, createAccountLimits } from "./account_limits.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { ExpectedRelease, Reservation } from "./reservations.ts";
import { currentListing } from "./worker_incarnation.ts";

/** The state of one scheduling pass, shared by the steps that it handles. */
export type SchedulingPass = {
  domain: Domain;
  moment: Moment;
  accountLimits: AccountLimits;
  /** Capacity reserved for steps of higher rank. */
  reservations: Map<DomainWorker, Reservation>;
  /** Releases expected of the tasks on a worker; deleted when one is placed. */
  releases: Map<DomainWorker, ExpectedRelease[]>;
  /**
   * Returns the workers of a service whose present incarnation is listed and not
   * draining.
   */
  workersOf(service: string): DomainWorker[];
  /** Whether an earlier step has found no capacity for fewer or such tasks. */
  hasNoCapacityFor(service: string, tasks: TaskGroup): boolean;
  /** Records that the workers of a service have no capacity for some tasks. */
  recordNoCapacity(service: string, tasks: TaskGroup): void;
  /** What has been recorded so far. */
  shortages: Shortages;
  /** Capacity left for work beyond the rates of accounts, by service. */
  excessRoom: Map<string, Resources>;
};

/** Tasks for which the workers of a service have no capacity, by service. */
export type Shortages = Map<string, TaskGroup[]>;

/** Tasks that need capacity at the same time. */
export type TaskGroup = {
  demand: Resources;
  count: number;
  /** Whether they may take capacity that is reserved until it is needed. */
  mayBackfill: boolean;
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
    const listing = currentListing(worker);
    if (listing === undefined || listing.draining) continue;
    const known = workersByService.get(listing.service);
    if (known === undefined) workersByService.set(listing.service, [worker]);
    else known.push(worker);
  }
  const shortages: Shortages = new Map();
  return {
    domain,
    moment,
    accountLimits: createAccountLimits(domain, moment),
    reservations: new Map(),
    workersOf: (service) => workersByService.get(service) ?? [],
    releases: new Map(),
    hasNoCapacityFor: (service, tasks) => isShortFor(shortages, service, tasks),
    recordNoCapacity(service, tasks) {
      const known = shortages.get(service);
      if (known === undefined) shortages.set(service, [tasks]);
      else known.push(tasks);
    },
    shortages,
    excessRoom: new Map(),
  };
}

/** Whether a service has no capacity for some tasks, as it had none for fewer. */
export function isShortFor(
  shortages: Shortages,
  service: string,
  tasks: TaskGroup,
): boolean {
  return shortages.get(service)?.some((failed) =>
    failed.count <= tasks.count && fitsInto(failed.demand, tasks.demand) &&
    (failed.mayBackfill || !tasks.mayBackfill)
  ) ?? false;
}
