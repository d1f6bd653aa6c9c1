import type { Running } from "./running.ts";

/** Whether the instance can take calls. */
export function isReady(running: Running): boolean {
  const { configuration, manifest, membership, reachability, stopping } =
    running;
  const isConfigured = configuration.current() !== undefined ||
    manifest.current() !== undefined;
  return isConfigured && membership?.hasReadMembers() === true &&
    reachability.isFit() && !stopping.signal.aborted;
}
