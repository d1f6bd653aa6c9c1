/**
 * What an instance does when it loses touch with the store or the owners.
 *
 * @module
 */
import { elapsedMs } from "../ownership/mod.ts";
import { MAX_PEERS_ASKED } from "./read_owners_from_peers.ts";
import type { EntryContext } from "./entry_context.ts";

/** How often an owner looks whether the store still confirms it, in ms. */
const MEMBERSHIP_CHECK_INTERVAL_MS = 150;
/** Refusals by the store in a row after which another instance is asked. */
const MAX_REFUSALS = 2;
/** The same after so long without any answer of the store, in milliseconds. */
const MAX_STORE_SILENCE_MS = 700;
/** Pause after no other instance was found to reach the store, in ms. */
const NO_SUCCESSOR_PAUSE_MS = 400;
const RESIGN_PAUSE_MS = 1_000;
/** How often an owner is called while calls fail, in milliseconds. */
const REACHABILITY_CHECK_INTERVAL_MS = 400;

/**
 * Hands the domains over when the store no longer confirms the membership but
 * still serves another instance, which is far quicker than the lapse of the
 * membership.
 */
export async function watchMembership(context: EntryContext): Promise<void> {
  const { clock, holder, stopping, rpc, logger, platform } = context;
  const { signal } = stopping;
  while (!signal.aborted) {
    await clock.sleep(MEMBERSHIP_CHECK_INTERVAL_MS, signal);
    const { membership } = context;
    if (membership === undefined || holder.count() === 0) continue;
    const refusals = membership.refusals();
    // A lost answer to one call is no silence.
    const silentMs = Math.min(
      elapsedMs(clock, membership.confirmedAt()),
      elapsedMs(clock, platform.store.heardAt()),
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
      // The next look is at a new membership.
      await clock.sleep(RESIGN_PAUSE_MS, signal);
      break;
    }
    if (successors.length === 0) {
      await clock.sleep(NO_SUCCESSOR_PAUSE_MS, signal);
    }
  }
}

/**
 * The best candidates that the store serves at the moment. Only these are
 * asked to take a place: in an outage, a call that takes it might be carried
 * out when the store is back, and depose an owner that nothing ails.
 */
async function findInstancesReachingStore(
  context: EntryContext,
): Promise<string[]> {
  const { instances, rpc, self } = context;
  const others = instances.addresses()
    .filter((other) => other !== self)
    .slice(0, MAX_PEERS_ASKED);
  const reached = await Promise.all(others.map(async (instance) => {
    const owners = await rpc.owners(instance);
    return owners !== undefined && Object.keys(owners).length > 0;
  }));
  return others.filter((_, index) => reached[index]);
}

/**
 * Calls an owner again and again while calls fail, since a balancer that
 * knows this instance as unready sends none that could show the end of it.
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
    const [owner] = Object.values(directory.known());
    if (owner === undefined) continue;
    const isReached = owner === self || await rpc.owners(owner) !== undefined;
    reachability.recordCall(isReached);
  }
}
