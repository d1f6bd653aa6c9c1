/**
 * Detects owners that have crashed or are unreachable, long before the store
 * expires their membership, and evicts them so that this instance takes over.
 * Fencing epochs make this safe: an owner that was evicted by mistake can
 * neither commit to the store nor send commands to workers.
 *
 * @module
 */
import { evictMember } from "./evict_member.ts";
import { isAlive, probeInstance } from "./probe_instance.ts";
import type { EntryContext } from "./entry_context.ts";
import { createFailureDetector } from "./failure_detector.ts";
import { isUnreachableFor } from "./unreachable_instance.ts";

/** Pause between two rounds of probes, in milliseconds. */
const PROBE_INTERVAL_MS = 100;
/** Pause of an instance that does not probe, in milliseconds. */
const NON_CANDIDATE_INTERVAL_MS = 1_000;
/** Number of best-ranked candidates that probe the owners. */
const PROBING_CANDIDATES = 4;
/** Maximum number of other instances that check whether they reach an owner. */
const MAX_CONFIRMING_INSTANCES = 5;
/** Pause after an eviction, while the successor takes over, in milliseconds. */
const EVICTION_PAUSE_MS = 1_500;

/** Probes the owners and evicts failed ones until this instance stops. */
export async function monitorOwners(context: EntryContext): Promise<void> {
  const { clock, directory, stopping, instances, rpc, self } = context;
  const { signal } = stopping;
  const failureDetector = createFailureDetector();
  while (!signal.aborted) {
    const owners = new Set(Object.values(directory.knownOwners()));
    const rank = instances.rank([...owners]);
    if (rank === undefined || rank >= PROBING_CANDIDATES || owners.has(self)) {
      await clock.sleep(NON_CANDIDATE_INTERVAL_MS, signal);
      continue;
    }
    for (const owner of owners) {
      const outcome = await probeInstance(owner);
      failureDetector.recordProbe(owner, outcome === "listening");
      if (!failureDetector.isSuspected(owner, rank)) continue;
      const isConfirmed =
        !isAlive(outcome, context.peerContact.silentMs(owner)) &&
        await isUnreachableFor(rpc, confirmingInstances(context, owner), owner);
      failureDetector.recordProbe(owner, true);
      if (!isConfirmed) continue;
      await evictOwner(context, owner);
      await clock.sleep(EVICTION_PAUSE_MS, signal);
    }
    await clock.sleep(PROBE_INTERVAL_MS, signal);
  }
}

function confirmingInstances(
  { instances, self }: EntryContext,
  owner: string,
): string[] {
  return instances.addresses()
    .filter((address) => address !== self && address !== owner)
    .slice(0, MAX_CONFIRMING_INSTANCES);
}

/** Evicts an owner if it still is one, and joins the group in its place. */
async function evictOwner(context: EntryContext, owner: string): Promise<void> {
  const { directory, logger, membership } = context;
  await directory.refresh();
  if (!Object.values(directory.knownOwners()).includes(owner)) return;
  logger.part("ownership").warn("Evicting an owner that does not answer.", {
    owner,
  });
  const result = await evictMember(context, owner);
  if (result.isErr()) {
    logger.part("ownership").warn("Failed to evict the owner.", {
      owner,
      fault: result.error.kind,
      cause: result.error.message,
    });
    return;
  }
  membership?.confirm();
}
