import { fitsInto } from "../model/mod.ts";
import { isEligibleListing } from "./choose_worker.ts";
import type { Domain } from "./domain.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { stopTask } from "./stop_task.ts";
import type { StepRun } from "./step_run.ts";
import type { WorkerListing } from "./worker_listing.ts";

/**
 * Stops the starts that were decided for an earlier incarnation of a worker and
 * would now reach a later one, unless that one may run all of them. Which of them
 * it has received already is not known.
 *
 * @param listing the entry of the later incarnation, if it is known
 */
export function stopUnsuitableStarts(
  domain: Domain,
  worker: DomainWorker,
  listing: WorkerListing | undefined,
): void {
  const hasRoom = listing !== undefined &&
    fitsInto(worker.used, listing.capacity);
  for (const { run, index } of worker.placed.values()) {
    const task = run.tasks[index];
    if (task?.kind !== "placed" || task.worker !== worker.id) continue;
    if (task.phase.kind !== "starting") continue;
    if (hasRoom && mayStart(listing, run)) continue;
    stopTask(domain, run, index);
  }
}

function mayStart(listing: WorkerListing, run: StepRun): boolean {
  // A ticket is valid for one incarnation.
  const needsTicket = run.jobRun.job.policy.advice !== undefined;
  return !needsTicket && isEligibleListing(listing, run);
}
