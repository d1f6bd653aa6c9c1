/**
 * Executes calls at the owner of a domain in this process. The owner decides
 * whether its domain accepts a job, whatever configuration the caller had:
 * instances apply a configuration at different times, and may send the same job
 * to different domains.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import type { DomainOwner, QueueAddress } from "../ownership/mod.ts";
import { epochsOf, findJob, type JobSearchHost } from "./job_search.ts";
import type { DomainAnswer, DomainCall } from "./peer_call.ts";
import { partitionOf } from "./partition_of.ts";

/** How long a call may search other domains for its job, in milliseconds. */
const SEARCH_TIMEOUT_MS = 800;

/** Pause before domains with a claim are searched again, in milliseconds. */
const CLAIM_POLL_INTERVAL_MS = 50;

/** Dependencies of the execution of calls. */
export type DomainCallHost = JobSearchHost & { partitionCount: number };

type SubmitCall = Extract<DomainCall, { kind: "submit" }>;
type CancelCall = Extract<DomainCall, { kind: "cancel" }>;
type StateCall = Extract<DomainCall, { kind: "state" }>;
type PendingCall = Extract<DomainCall, { kind: "pending" }>;

/**
 * Executes a call at the owner of its domain in this process.
 *
 * @example
 * ```ts
 * const answer = await executeDomainCall(host, { kind: "state", partition, job });
 * ```
 */
export async function executeDomainCall(
  host: DomainCallHost,
  call: DomainCall,
): Promise<DomainAnswer> {
  const owner = await host.ownedDomains.ownerOf(call.partition);
  if (owner === undefined) return { kind: "notOwner" };
  switch (call.kind) {
    case "submit":
      return await submitJob(host, owner, call);
    case "cancel":
      return await cancelJob(host, owner, call);
    case "state":
      return await readState(owner, call);
    case "describe":
      return await owner.describe(call.job);
    case "preview":
      return {
        kind: "preview",
        preview: owner.preview(call.request, call.policy),
      };
    case "pending":
      return await countPendingJobs(owner, call);
    default:
      return assertNever(call);
  }
}

async function submitJob(
  host: DomainCallHost,
  owner: DomainOwner,
  { request, policy, address, mayRefuse }: SubmitCall,
): Promise<DomainAnswer> {
  const { id } = request;
  const accept = (holder: DomainOwner) =>
    holder.submit(request, policy, { mayRefuse });
  const holder = findLocalHolder(host, owner, id);
  if (holder !== undefined) return await accept(holder);
  const home = partitionOf(policy.service, host.partitionCount);
  // Only the workers of the home can run it. This domain had the job when
  // another one searched for it.
  if (home !== owner.partition) return { kind: "elsewhere", partition: home };
  const queue = { queue: policy.queue, address };
  return await decideAlone(host, owner, id, queue, () => {
    return accept(findLocalHolder(host, owner, id) ?? owner);
  });
}

/**
 * Cancels a job. An id that no domain has is kept, since its job may still
 * arrive.
 */
async function cancelJob(
  host: DomainCallHost,
  owner: DomainOwner,
  { job, queue, address, clientAccount }: CancelCall,
): Promise<DomainAnswer> {
  if (owner.isHiddenFrom(job, { clientAccount, queue })) {
    return { kind: "unknownJob" };
  }
  if (owner.hasJob(job) || queue === undefined) return await owner.cancel(job);
  return await decideAlone(host, owner, job, { queue, address }, () => {
    return owner.cancel(job);
  });
}

async function readState(
  owner: DomainOwner,
  { job, queue, address, clientAccount }: StateCall,
): Promise<DomainAnswer> {
  if (owner.isHiddenFrom(job, { clientAccount, queue })) {
    return { kind: "unknownJob" };
  }
  const answer = await owner.stateOf(job);
  if (answer.kind !== "unknownJob" || queue === undefined) return answer;
  const unavailable = await owner.recordQueue({ queue, address });
  if (unavailable !== undefined) return unavailable;
  const sharers = owner.sharersOf({ queue, address });
  return { kind: "unknownJob", sharers };
}

async function countPendingJobs(
  owner: DomainOwner,
  { queue, address, namesSharers = false }: PendingCall,
): Promise<DomainAnswer> {
  if (!namesSharers) {
    return { kind: "pending", jobs: owner.countPendingJobs(queue) };
  }
  const unavailable = await owner.recordQueue({ queue, address });
  if (unavailable !== undefined) return unavailable;
  const sharers = owner.sharersOf({ queue, address });
  return { kind: "pending", jobs: owner.countPendingJobs(queue), sharers };
}

/**
 * Another owner in this process that has a job or has its cancellation; the
 * owner itself if it has.
 */
function findLocalHolder(
  { ownedDomains }: DomainCallHost,
  owner: DomainOwner,
  job: string,
): DomainOwner | undefined {
  const candidates = [owner, ...ownedDomains.loadedOwners()];
  return candidates.find((candidate) => candidate.hasJob(job)) ??
    candidates.find((candidate) => candidate.hasCancelled(job));
}

/**
 * Makes a decision about a job that the domain does not have, once no other
 * domain has the job or can still accept it. The domain is recorded first, so
 * that domains which use the queue later search it; it claims the job, so that
 * those which search it now do not decide at the same time.
 */
async function decideAlone(
  host: DomainCallHost,
  owner: DomainOwner,
  job: string,
  queue: QueueAddress,
  decide: () => Promise<DomainAnswer>,
): Promise<DomainAnswer> {
  const unavailable = await owner.recordQueue(queue);
  if (unavailable !== undefined) return unavailable;
  const endClaim = owner.claim(job);
  try {
    const refusal = await searchSharers(host, owner, job, queue);
    return refusal ?? await decide();
  } finally {
    endClaim();
  }
}

/**
 * Searches the other domains of a queue for a job.
 *
 * @returns why this domain may not decide; undefined if it may
 */
async function searchSharers(
  host: DomainCallHost,
  owner: DomainOwner,
  job: string,
  queue: QueueAddress,
): Promise<DomainAnswer | undefined> {
  const { clock, logger } = host;
  const untilMs = clock.steadyMs() + SEARCH_TIMEOUT_MS;
  const { partition, epoch } = owner;
  while (true) {
    const sharers = owner.sharersOf(queue);
    const partitions = [...new Set(sharers.map(({ partition }) => partition))];
    if (partitions.length === 0 || owner.hasJob(job)) return undefined;
    const search = await findJob(host, job, partitions, untilMs, {
      epochs: epochsOf(sharers),
      sharer: { partition, epoch, queues: [queue] },
    });
    switch (search.kind) {
      case "notFound":
        return undefined;
      case "found":
      case "cancelled":
        logger.info("Found a job in another domain of its queue.", {
          job,
          partition,
          holder: search.partition,
        });
        return { kind: "elsewhere", partition: search.partition };
      case "claimed":
        // Of two domains that claim a job, the one with the lower number waits
        // until the other one has ended its claim.
        if (search.partition < partition) return { kind: "unsearched" };
        break;
      case "unanswered":
        return { kind: "unsearched" };
      default:
        return assertNever(search);
    }
    if (clock.steadyMs() >= untilMs || host.signal.aborted) {
      return { kind: "unsearched" };
    }
    await clock.sleep(CLAIM_POLL_INTERVAL_MS, host.signal);
  }
}
