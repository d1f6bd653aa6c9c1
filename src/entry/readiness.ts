import type { EntryContext } from "./entry_context.ts";

/** Whether the instance can serve client calls. */
export function isReady(context: EntryContext): boolean {
  const { membership, ownerDiscovery, reachability, stopping } = context;
  return membership?.hasReadMembers() === true &&
    ownerDiscovery?.isComplete() === true && reachability.isHealthy() &&
    !stopping.signal.aborted;
}
