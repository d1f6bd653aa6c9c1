import type { EntryContext } from "./entry_context.ts";

/** Whether the instance can serve client calls. */
export function isReady(context: EntryContext): boolean {
  const { configuration, manifest, membership, reachability, stopping } =
    context;
  const isConfigured = configuration.current() !== undefined ||
    manifest.current() !== undefined;
  return isConfigured && membership?.hasReadMembers() === true &&
    reachability.isHealthy() && !stopping.signal.aborted;
}
