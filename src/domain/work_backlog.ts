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

type ResourceName = typeof RESOURCE_NAMES[number];

/** Work of steps, by the resource of which they take the largest share. */
type WorkByResource = Map<ResourceName, Work>;

/** The work that waits for the workers of a service. */
export type ServiceBacklog = {
  /** The capacity of the listed workers. */
  capacity: Resources;
  /** Work within the rates of accounts, or without one. */
  owed: WorkByResource;
  /** Work beyond them, by account. */
  excess: Map<string, WorkByResource>;
};

/** Counts the work of an accepted job. */
export function recordAcceptedWork(
  domain: Domain,
  request: JobRequest,
  policy: QueuePolicy,
  { isBeyondRate, nowMs }: { isBeyondRate: boolean; nowMs: number },
): void {
  const { service, clientAccount = "" } = policy;
  const backlog = domain.backlogs.get(service);
  const capacity = backlog?.capacity ?? capacityOf(domain, service);
  const account = isBeyondRate ? clientAccount : undefined;
  let accepted = decayedInflow(domain, service, nowMs);
  for (const step of request.steps) {
    const work = workOf(domain, step, step.taskCount, policy, capacity);
    if (backlog !== undefined) addWork(backlog, account, step, work);
    accepted = addResources(accepted, work);
  }
  if (isBeyondRate) return;
  domain.workInflows.set(service, { work: accepted, updatedAtMs: nowMs });
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
  const backlog = backlogOf(domain, service);
  const inflow = decayedInflow(domain, service, nowMs);
  const weight = weightOf(domain, clientAccount);
  const needed = neededResources(request.steps);
  let waitMs = 0;
  for (const name of needed) {
    const own = sumWork(backlog.excess.get(clientAccount), needed, name);
    let ahead = sumWork(backlog.owed, needed, name);
    for (const [account, byResource] of backlog.excess) {
      const fairPart = own * weightOf(domain, account) / weight;
      ahead += Math.min(sumWork(byResource, needed, name), fairPart);
    }
    const drainShare = 1 - inflow[name] / INFLOW_AVERAGING_MS;
    waitMs = Math.max(waitMs, ahead / Math.max(MIN_DRAIN_SHARE, drainShare));
  }
  return waitMs;
}

/**
 * Sums the work for a resource of the steps that mainly need one of some
 * resources; the others wait for something else.
 */
function sumWork(
  byResource: WorkByResource | undefined,
  needed: ResourceName[],
  name: ResourceName,
): number {
  let sum = 0;
  for (const dominant of needed) sum += byResource?.get(dominant)?.[name] ?? 0;
  return sum;
}

/** Returns the backlog of a service, which each pass discards. */
function backlogOf(domain: Domain, service: string): ServiceBacklog {
  const known = domain.backlogs.get(service);
  if (known !== undefined) return known;
  const capacity = capacityOf(domain, service);
  const backlog = { capacity, owed: new Map(), excess: new Map() };
  for (const { step, waitingCount, jobRun } of domain.waitingSteps) {
    const { policy, isBeyondRate } = jobRun.job;
    if (policy.service !== service) continue;
    const work = workOf(domain, step, waitingCount, policy, capacity);
    const account = isBeyondRate === true ? policy.clientAccount : undefined;
    addWork(backlog, account, step, work);
  }
  domain.backlogs.set(service, backlog);
  return backlog;
}

/** Adds the work of a step, of an account that exceeds its rate if given. */
function addWork(
  { capacity, owed, excess }: ServiceBacklog,
  account: string | undefined,
  step: Step,
  work: Work,
): void {
  const byResource: WorkByResource = account === undefined
    ? owed
    : excess.get(account) ?? new Map();
  if (account !== undefined) excess.set(account, byResource);
  const dominant = dominantResource(step, capacity);
  const known = byResource.get(dominant) ?? NO_RESOURCES;
  byResource.set(dominant, addResources(known, work));
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

/**
 * The capacity of the listed workers of a service. Those that do not answer at
 * present are included: after a takeover none has answered yet.
 */
function capacityOf(domain: Domain, service: string): Resources {
  let capacity = NO_RESOURCES;
  for (const worker of domain.workers.values()) {
    const listing = currentListing(worker);
    if (listing?.service !== service || listing.draining) continue;
    capacity = addResources(capacity, worker.capacity);
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
