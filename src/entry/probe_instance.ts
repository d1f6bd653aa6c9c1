import { assertNever, isAddress } from "../base/mod.ts";
import { probeAddress, type ProbeOutcome } from "../clients/mod.ts";

/** Timeout for opening a connection, in milliseconds. */
const PROBE_TIMEOUT_MS = 120;
/**
 * An instance of which a message arrived within this time is alive, in ms. Two
 * probes that are not answered take longer, so that the contact does not delay
 * the detection of an instance that has failed.
 */
const MAX_CONTACT_AGE_MS = 200;

/** Probes an entry instance, given as `IP:port`; no other text is one. */
export async function probeInstance(address: string): Promise<ProbeOutcome> {
  if (!isAddress(address)) return "refused";
  const colon = address.lastIndexOf(":");
  const port = Number(address.slice(colon + 1));
  return await probeAddress(address.slice(0, colon), port, PROBE_TIMEOUT_MS);
}

/**
 * Whether an instance is alive after a probe. The queue of connections to
 * accept may be full at one that is busy but still answers on open connections.
 *
 * @param silentMs time since its last message arrived, in milliseconds
 *
 * @example
 * ```ts
 * isAlive("silent", 30); // true
 * ```
 */
export function isAlive(outcome: ProbeOutcome, silentMs: number): boolean {
  switch (outcome) {
    case "listening":
      return true;
    case "refused":
      return false;
    case "silent":
      return silentMs <= MAX_CONTACT_AGE_MS;
    default:
      return assertNever(outcome);
  }
}
