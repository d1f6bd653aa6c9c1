/**
 * Estimates how long a job beyond its account's rate would wait for capacity:
 * all work within the rates of accounts goes first.
 *
 * @module
 */
import {
  addResources,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
} from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { JobRequest, QueuePolicy, Step } from "./job.ts";
import { expectedDurationMs } from "./job_lifecycle.ts";
import type { StepRun } from "./step_run.ts";
import { allocationOf } from "./task_placement.ts";
import { currentListing } from "./worker_incarnation.ts";

/** Time constant of the average of accepted work, in milliseconds. */
const INFLOW_AVERAGING_MS = 2_000;
/** The least share of the capacity that is taken to be left for a backlog. */
const MIN_DRAIN_SHARE = 0.05;

/**
 * Work for each resource, as the time in milliseconds that it would take with
 * all of this resource that the workers of the service have.
 */
export type Work = Resources;

/** A decaying sum of accepted work. */
export type WorkInflow = {
  work: Work;
  /** When it was last updated, on the steady clock. */
  updatedAtMs: number;
};

/** Adds the work of a job that was accepted within its account's rate. */
export function recordInflow(
  domain: Domain,
  request: JobRequest,
  policy: QueuePolicy,
  nowMs: number,
): void {
  const { service } = policy;
  const capacity = capacityOf(domain, service);
  let work = decayedInflow(domain, service, nowMs);
  for (const step of request.steps) {
    const count = step.taskCount;
    work = addResources(work, workOf(domain, step, count, policy, capacity));
  }
  domain.workInflows.set(service, { work, updatedAtMs: nowMs });
}

/**
 * Estimates the time until the workers could start a job that is beyond the
 * rate of its account, in milliseconds. Accounts that exceed their rates share
 * what is left by weight.
 */
export function estimateExcessWaitMs(
  domain: Domain,
  request: JobRequest,
  policy: QueuePolicy,
  nowMs: number,
): number {
  const { service, clientAccount = "" } = policy;
  const capacity = capacityOf(domain, service);
  const needed = neededResources(request.steps);
  const { owed, excess } = sumWaitingWork(domain, service, needed, capacity);
  const inflow = decayedInflow(domain, service, nowMs);
  const own = excess.get(clientAccount) ?? NO_RESOURCES;
  const weight = weightOf(domain, clientAccount);
  let waitMs = 0;
  for (const name of needed) {
    let ahead = owed[name];
    for (const [account, work] of excess) {
      const fairPart = own[name] * weightOf(domain, account) / weight;
      ahead += Math.min(work[name], fairPart);
    }
    const drainShare = 1 - inflow[name] / INFLOW_AVERAGING_MS;
    waitMs = Math.max(waitMs, ahead / Math.max(MIN_DRAIN_SHARE, drainShare));
  }
  return waitMs;
}

type ResourceName = typeof RESOURCE_NAMES[number];

/** Sums the waiting work that competes for any of the given resources. */
function sumWaitingWork(
  domain: Domain,
  service: string,
  needed: ResourceName[],
  capacity: Resources,
): { owed: Work; excess: Map<string, Work> } {
  let owed = NO_RESOURCES;
  const excess = new Map<string, Work>();
  for (const run of domain.waitingSteps) {
    const { policy, isBeyondRate } = run.jobRun.job;
    if (policy.service !== service) continue;
    if (!needed.includes(dominantResource(run.step, capacity))) continue;
    const work = waitingWorkOf(domain, run, capacity);
    if (isBeyondRate === true) {
      const account = policy.clientAccount ?? "";
      const known = excess.get(account) ?? NO_RESOURCES;
      excess.set(account, addResources(known, work));
    } else owed = addResources(owed, work);
  }
  return { owed, excess };
}

function waitingWorkOf(
  domain: Domain,
  { step, waitingCount, jobRun }: StepRun,
  capacity: Resources,
): Work {
  return workOf(domain, step, waitingCount, jobRun.job.policy, capacity);
}

function workOf(
  domain: Domain,
  step: Step,
  taskCount: number,
  { queue, advice }: QueuePolicy,
  capacity: Resources,
): Work {
  const queueMeanMs = domain.meanDurationMsByQueue.get(queue);
  // Room is kept for a step while the placement policy decides.
  const durationMs = expectedDurationMs(step.estimateMs, queueMeanMs) +
    (advice?.decideMs ?? 0);
  const demand = allocationOf(step);
  const workFor = (name: ResourceName) =>
    taskCount * durationMs * demand[name] / Math.max(1, capacity[name]);
  return {
    cpuMillis: workFor("cpuMillis"),
    memoryMb: workFor("memoryMb"),
    accelerators: workFor("accelerators"),
  };
}

function neededResources(steps: Step[]): ResourceName[] {
  return RESOURCE_NAMES.filter((name) =>
    steps.some((step) => allocationOf(step)[name] > 0)
  );
}

/** The resource of which a step takes the largest share. */
function dominantResource(step: Step, capacity: Resources): ResourceName {
  const demand = allocationOf(step);
  const shareOf = (name: ResourceName) =>
    demand[name] / Math.max(1, capacity[name]);
  return RESOURCE_NAMES.reduce((dominant, name) =>
    shareOf(name) > shareOf(dominant) ? name : dominant
  );
}

/** The capacity of the workers of a service that take new tasks. */
function capacityOf(domain: Domain, service: string): Resources {
  let capacity = NO_RESOURCES;
  for (const worker of domain.workers.values()) {
    const listing = currentListing(worker);
    if (listing?.service !== service || listing.draining) continue;
    if (worker.isReachable) capacity = addResources(capacity, worker.capacity);
  }
  return capacity;
}

function decayedInflow(domain: Domain, service: string, nowMs: number): Work {
  const inflow = domain.workInflows.get(service);
  if (inflow === undefined) return NO_RESOURCES;
  const kept = Math.exp((inflow.updatedAtMs - nowMs) / INFLOW_AVERAGING_MS);
  return {
    cpuMillis: inflow.work.cpuMillis * kept,
    memoryMb: inflow.work.memoryMb * kept,
    accelerators: inflow.work.accelerators * kept,
  };
}

function weightOf(domain: Domain, account: string): number {
  return domain.clientAccounts.get(account)?.weight || 1;
}
