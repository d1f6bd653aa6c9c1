/**
 * Finds the instances that have gone without withdrawing their announcements,
 * and removes these, so that the list of instances stays bounded. An instance
 * that is removed although it runs announces itself again.
 *
 * @module
 */
import type { StoreHost } from "../hosts/mod.ts";
import type { EntryContext } from "./entry_context.ts";
import { INSTANCES_PARTITION } from "./follow_store_topics.ts";
import { isAlive, probeInstance } from "./probe_instance.ts";
import { isUnreachableFor } from "./unreachable_instance.ts";

/** What the checks and the removals need of an instance. */
export type InstanceRemovalHost =
  & Pick<
    EntryContext,
    | "clock"
    | "instances"
    | "logger"
    | "ownedDomains"
    | "peerContact"
    | "rpc"
    | "self"
    | "silentInstances"
    | "stopping"
  >
  & { platform: { store: Pick<StoreHost, "append"> } };

/** Pause between two rounds of checks, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
/** Maximum number of other instances that confirm that one has gone. */
const MAX_CONFIRMING_INSTANCES = 3;

/**
 * Checks the instances while this one owns domains, and removes those that have
 * gone, until it stops.
 */
export async function removeGoneInstances(
  host: InstanceRemovalHost,
): Promise<void> {
  const { clock, ownedDomains, silentInstances, stopping } = host;
  const { signal } = stopping;
  while (!signal.aborted) {
    await clock.sleep(CHECK_INTERVAL_MS, signal);
    const others = ownedDomains.count() === 0 ? [] : otherInstances(host);
    await probeAll(host, silentInstances.nextChecks(others));
    await removeConfirmed(host, others, silentInstances.gone());
  }
}

/**
 * Checks all instances at once before this one takes over a domain. Links and
 * questions that a new owner would give to an instance that has gone are lost
 * until their timeout, and after a series of losses the lost ones are the best
 * candidates of the list. Resolves when all have been probed; those that others
 * do not reach either are removed afterwards.
 *
 * @example
 * ```ts
 * await checkAllInstances(context);
 * const relays = peers.filter(({ address }) =>
 *   !context.silentInstances.isSilent(address)
 * );
 * ```
 */
export async function checkAllInstances(
  host: InstanceRemovalHost,
): Promise<void> {
  const others = otherInstances(host);
  await probeAll(host, others);
  const silent = others.filter(host.silentInstances.isSilent);
  removeConfirmed(host, others, silent);
}

function otherInstances({ instances, self }: InstanceRemovalHost): string[] {
  return instances.addresses().filter((address) => address !== self);
}

async function probeAll(
  { peerContact, silentInstances }: InstanceRemovalHost,
  addresses: string[],
): Promise<void> {
  await Promise.all(addresses.map(async (instance) => {
    const outcome = await probeInstance(instance);
    silentInstances.record(
      instance,
      isAlive(outcome, peerContact.silentMs(instance)),
    );
  }));
}

/** Removes those of the silent instances that others do not reach either. */
async function removeConfirmed(
  host: InstanceRemovalHost,
  others: string[],
  silent: string[],
): Promise<void> {
  const confirming = others
    .filter((other) => !host.silentInstances.isSilent(other))
    .slice(0, MAX_CONFIRMING_INSTANCES);
  // If none of several others answers, this instance itself is partitioned.
  if (confirming.length === 0 && others.length > 1) return;
  for (const instance of silent) {
    if (!await isUnreachableFor(host.rpc, confirming, instance)) continue;
    await removeAnnouncement(host, instance);
  }
}

async function removeAnnouncement(
  { platform, logger, stopping }: InstanceRemovalHost,
  instance: string,
): Promise<void> {
  const removal = { key: instance, value: undefined };
  const result = await platform.store.append(
    INSTANCES_PARTITION,
    [removal],
    undefined,
    stopping.signal,
  );
  const part = logger.part("entry");
  if (result.isOk()) {
    part.info("Removed an instance that has gone.", { instance });
    return;
  }
  part.warn("Failed to remove an instance that has gone.", {
    instance,
    fault: result.error.kind,
    cause: result.error.message,
  });
}
