import { BOUND_MARGIN_MS } from "./client_authentication.ts";
import type { EntryContext } from "./entry_context.ts";

/** Time since an answer of another instance that shows a connection, in ms. */
const CONTACT_WITHIN_MS = 3_000;

/** Whether the instance can serve client calls. */
export function isReady(context: EntryContext): boolean {
  const { membership, ownerDiscovery, reachability, stopping } = context;
  return membership?.hasReadMembers() === true &&
    ownerDiscovery?.isComplete() === true && reachability.isHealthy() &&
    canCheckKeys(context) && !stopping.signal.aborted;
}

/** Whether the instance can check keys, or has other calls to serve. */
function canCheckKeys(context: EntryContext): boolean {
  const { configuration, configurationIntake, settings } = context;
  const { requiresKeys = false, routes = [] } = configuration.current() ?? {};
  const { revocationBoundMs } = settings.configuration;
  return !requiresKeys ||
    configurationIntake.ageMs() <= revocationBoundMs - BOUND_MARGIN_MS ||
    routes.some(({ isPublic }) => isPublic) && !isIsolated(context);
}

/**
 * Whether no other instance answers. If some do and none of them confirms the
 * configuration, they cannot check keys either: nothing is won elsewhere.
 */
function isIsolated(
  { instances, peerContact, self }: EntryContext,
): boolean {
  const others = instances.addresses().filter((address) => address !== self);
  return others.length > 0 &&
    others.every((other) => peerContact.silentMs(other) > CONTACT_WITHIN_MS);
}
