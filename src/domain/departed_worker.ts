/**
 * Workers that have left the list after their leases expired. Whether they have
 * crashed under the tasks that had just started there shows only later: a new
 * incarnation is listed, under the same id or at the same address.
 *
 * @module
 */
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker, UnsettledTask } from "./domain_worker.ts";
import { createDomainWorker } from "./task_placement.ts";
import { recordWorkerCrash } from "./worker_crash.ts";
import { wasDraining } from "./worker_incarnation.ts";
import type { WorkerListing } from "./worker_listing.ts";

/** What is kept of a worker that has left the list. */
export type DepartedWorker = {
  address: string;
  bornMs: number;
  /** Tasks that had just started when its lease expired. */
  lapsedStarts: UnsettledTask[];
};

/** Removes an idle worker that has left the list. */
export function removeWorker(domain: Domain, worker: DomainWorker): void {
  const { id, lastListing, bornMs, lapsedStarts } = worker;
  domain.workers.delete(id);
  domain.departedWorkers.delete(id);
  if (lastListing === undefined || wasDraining(worker)) return;
  const { address } = lastListing;
  domain.departedWorkers.set(id, { address, bornMs, lapsedStarts });
}

/**
 * Creates a worker that has joined the list. A worker that left it before, and
 * whose address is now that of another one, has crashed.
 */
export function addWorker(
  domain: Domain,
  { id, address }: WorkerListing,
  moment: Moment,
): DomainWorker {
  const worker = createDomainWorker(id, domain);
  const returned = domain.departedWorkers.get(id);
  if (returned !== undefined) {
    worker.bornMs = returned.bornMs;
    worker.lapsedStarts = returned.lapsedStarts;
    domain.departedWorkers.delete(id);
  }
  for (const [departed, { lapsedStarts, ...known }] of domain.departedWorkers) {
    if (known.address !== address) continue;
    domain.departedWorkers.delete(departed);
    recordWorkerCrash(domain, departed, lapsedStarts, {
      moment,
      isInferred: false,
    });
  }
  domain.workers.set(id, worker);
  return worker;
}

/** Forgets departed workers that no open job had just started tasks on. */
export function forgetDepartedWorkers(domain: Domain): void {
  for (const [id, { lapsedStarts }] of domain.departedWorkers) {
    const isNeeded = lapsedStarts.some(({ run, index }) =>
      run.jobRun.job.outcome === "open" && run.tasks[index]?.kind !== "done"
    );
    if (!isNeeded) domain.departedWorkers.delete(id);
  }
}
