import { assertNever } from "../base/mod.ts";
import type { DomainHolder, OwnerAnswer } from "../ownership/mod.ts";
import type { DomainAnswer, DomainCall } from "./peer_call.ts";

/**
 * Answers a call about a domain from the owner in this process.
 *
 * @example
 * ```ts
 * const answer = await answerCall(holder, { kind: "state", partition, job });
 * ```
 */
export async function answerCall(
  holder: DomainHolder,
  call: DomainCall,
): Promise<DomainAnswer> {
  const owner = await holder.ownerOf(call.partition);
  if (owner === undefined) return { kind: "notOwner" };
  switch (call.kind) {
    case "submit":
      return fromOwner(await owner.submit(call.request, call.policy));
    case "cancel":
      return fromOwner(await owner.cancel(call.job));
    case "state": {
      const state = await owner.stateOf(call.job);
      if (state === "unknownJob" || state === "lost") return { kind: state };
      return { kind: "state", state };
    }
    case "describe": {
      const job = await owner.describe(call.job);
      if (job === "unknownJob" || job === "lost") return { kind: job };
      return { kind: "description", job };
    }
    case "pending":
      return { kind: "pending", jobs: owner.pendingJobs(call.queue) };
    default:
      return assertNever(call);
  }
}

function fromOwner(answer: OwnerAnswer): DomainAnswer {
  return answer;
}
