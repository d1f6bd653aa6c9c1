import { assertNever } from "../base/mod.ts";
import type { OwnedDomains } from "../ownership/mod.ts";
import type { DomainAnswer, DomainCall } from "./peer_call.ts";

/**
 * Executes a call at the owner of its domain in this process.
 *
 * @example
 * ```ts
 * const answer = await executeDomainCall(ownedDomains, { kind: "state", partition, job });
 * ```
 */
export async function executeDomainCall(
  ownedDomains: OwnedDomains,
  call: DomainCall,
): Promise<DomainAnswer> {
  const owner = await ownedDomains.ownerOf(call.partition);
  if (owner === undefined) return { kind: "notOwner" };
  switch (call.kind) {
    case "submit": {
      const { address } = call;
      const unavailable = await owner.recordQueue({
        queue: call.policy.queue,
        address,
      });
      if (unavailable !== undefined) return unavailable;
      // Its queue may have belonged to another service when it was accepted, or
      // cancelled before it arrived.
      const { id } = call.request;
      const candidates = [owner, ...ownedDomains.loadedOwners()];
      const holder = candidates.find((candidate) => candidate.hasJob(id)) ??
        candidates.find((candidate) => candidate.hasCancelled(id));
      return await (holder ?? owner).submit(call.request, call.policy);
    }
    case "cancel": {
      const { job, queue, address } = call;
      // The cancellation of a job that may still arrive is kept.
      if (!owner.hasJob(job) && queue !== undefined) {
        const unavailable = await owner.recordQueue({ queue, address });
        if (unavailable !== undefined) return unavailable;
      }
      return await owner.cancel(job);
    }
    case "state":
      return await owner.stateOf(call.job);
    case "describe":
      return await owner.describe(call.job);
    case "pending":
      return { kind: "pending", jobs: owner.countPendingJobs(call.queue) };
    default:
      return assertNever(call);
  }
}
