import { BOUND_MARGIN_MS } from "./client_authentication.ts";
import type { EntryContext } from "./entry_context.ts";

/** Whether the instance can serve client calls. */
export function isReady(context: EntryContext): boolean {
  const { membership, ownerDiscovery, reachability, stopping } = context;
  return membership?.hasReadMembers() === true &&
    ownerDiscovery?.isComplete() === true && reachability.isHealthy() &&
    canCheckKeys(context) && !stopping.signal.aborted;
}

/** Whether the instance does not refuse all calls with a key. */
function canCheckKeys(
  { configuration, configurationIntake, settings }: EntryContext,
): boolean {
  const { clientAccounts = [] } = configuration.current() ?? {};
  const { revocationBoundMs } = settings.configuration;
  return clientAccounts.length === 0 ||
    configurationIntake.ageMs() <= revocationBoundMs - BOUND_MARGIN_MS;
}
