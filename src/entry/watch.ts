/**
 * What an instance does when it loses touch with the store or the owners.
 *
 * @module
 */
import { MAX_INSTANCES_ASKED } from "./read_owners_elsewhere.ts";
import type { Running } from "./running.ts";

/** How often an owner looks whether the store still confirms it, in ms. */
const WATCH_INTERVAL_MS = 150;
/** Refusals by the store in a row after which another instance is asked. */
const MAX_REFUSALS = 2;
const RESIGN_PAUSE_MS = 1_000;
/** How often an owner is called while calls fail, in milliseconds. */
const OWNER_WATCH_INTERVAL_MS = 400;

/**
 * Hands the domains over when the store no longer confirms the membership but
 * still serves another instance, which is far quicker than the lapse of the
 * membership.
 */
export async function watchMembership(running: Running): Promise<void> {
  const { clock, holder, stopping, instances, rpc, self, logger } = running;
  const { signal } = stopping;
  while (!signal.aborted) {
    await clock.sleep(WATCH_INTERVAL_MS, signal);
    const refusals = running.membership?.refusals() ?? 0;
    if (refusals < MAX_REFUSALS || holder.count() === 0) continue;
    const others = instances.addresses().filter((other) => other !== self);
    for (const instance of others.slice(0, MAX_INSTANCES_ASKED)) {
      if (!await rpc.succeed(instance, running.member.member)) continue;
      logger.part("ownership").warn("Handed the domains over.", {
        instance,
        refusals,
      });
      running.membership?.resign();
      // The next look is at a new membership.
      await clock.sleep(RESIGN_PAUSE_MS, signal);
      break;
    }
  }
}

/**
 * Calls an owner again and again while calls fail, since a balancer that
 * knows this instance as unready sends none that could show the end of it.
 */
export async function watchOwners(running: Running): Promise<void> {
  const { clock, directory, rpc, self, ending, reachability } = running;
  const { signal } = ending;
  while (!signal.aborted) {
    await clock.sleep(OWNER_WATCH_INTERVAL_MS, signal);
    if (reachability.isFit()) continue;
    await directory.refresh();
    const [owner] = Object.values(directory.known());
    if (owner === undefined) continue;
    const isReached = owner === self || await rpc.owners(owner) !== undefined;
    reachability.note(isReached);
  }
}
