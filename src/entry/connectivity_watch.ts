/**
 * Handles the loss of contact with the store or with the owners.
 *
 * @module
 */
import { elapsedMs } from "../ownership/mod.ts";
import { MAX_PEERS_QUERIED } from "./read_owners_from_peers.ts";
import type { EntryContext } from "./entry_context.ts";

/** How often an owner checks that the store still confirms it, in ms. */
const MEMBERSHIP_CHECK_INTERVAL_MS = 150;
/** Consecutive refusals by the store after which a successor is sought. */
const MAX_REFUSALS = 2;
/** Time without the store's answer after which a successor is sought, in ms. */
const MAX_STORE_SILENCE_MS = 700;
/** Pause after no other instance was found that reaches the store, in ms. */
const NO_SUCCESSOR_PAUSE_MS = 400;
const RESIGN_PAUSE_MS = 1_000;
/** Interval between calls to an owner while client calls fail, in ms. */
const REACHABILITY_CHECK_INTERVAL_MS = 400;

/**
 * Hands the domains over when the store no longer confirms the membership but
 * still serves another instance. This is much faster than waiting for the
 * membership to expire.
 */
export async function watchMembership(context: EntryContext): Promise<void> {
  const { clock, ownedDomains, stopping, rpc, logger, platform } = context;
  const { signal } = stopping;
  while (!signal.aborted) {
    await clock.sleep(MEMBERSHIP_CHECK_INTERVAL_MS, signal);
    const { membership } = context;
    if (membership === undefined || ownedDomains.count() === 0) continue;
    const refusals = membership.refusals();
    // Any answer of the store counts, so that the loss of a single answer is
    // not mistaken for an outage.
    const silentMs = Math.min(
      elapsedMs(clock, membership.confirmedAt()),
      elapsedMs(clock, platform.store.lastSuccessAt()),
    );
    if (refusals < MAX_REFUSALS && silentMs < MAX_STORE_SILENCE_MS) continue;
    const successors = await findInstancesReachingStore(context);
    for (const instance of successors) {
      if (!await rpc.succeed(instance, context.member.member)) continue;
      logger.part("ownership").warn("Handed the domains over.", {
        instance,
        refusals,
        silentMs: Math.round(silentMs),
      });
      membership.resign();
      // Waits for the new membership before the next check.
      await clock.sleep(RESIGN_PAUSE_MS, signal);
      break;
    }
    if (successors.length === 0) {
      await clock.sleep(NO_SUCCESSOR_PAUSE_MS, signal);
    }
  }
}

/**
 * Returns the best candidates that currently reach the store. Only these may
 * replace this member: during an outage, the store might execute a
 * delayed replacement once it is back, and evict a healthy owner.
 */
async function findInstancesReachingStore(
  context: EntryContext,
): Promise<string[]> {
  const { instances, rpc, self } = context;
  const others = instances.addresses()
    .filter((other) => other !== self)
    .slice(0, MAX_PEERS_QUERIED);
  const reached = await Promise.all(others.map(async (instance) => {
    const owners = await rpc.owners(instance);
    return owners !== undefined && Object.keys(owners).length > 0;
  }));
  return others.filter((_, index) => reached[index]);
}

/**
 * Calls an owner periodically while the instance is unhealthy. The balancer
 * sends no client calls to an unready instance, so nothing else would detect
 * that the owners are reachable again.
 */
export async function recheckReachability(
  context: EntryContext,
): Promise<void> {
  const { clock, directory, rpc, self, ending, reachability } = context;
  const { signal } = ending;
  while (!signal.aborted) {
    await clock.sleep(REACHABILITY_CHECK_INTERVAL_MS, signal);
    if (reachability.isHealthy()) continue;
    await directory.refresh();
    const [owner] = Object.values(directory.knownOwners());
    if (owner === undefined) continue;
    const isReached = owner === self || await rpc.owners(owner) !== undefined;
    reachability.recordCall(isReached);
  }
}
