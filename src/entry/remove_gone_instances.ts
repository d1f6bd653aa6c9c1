/**
 * Removes the announcements of instances that have gone without withdrawing
 * them, so that the list of instances stays bounded. An instance that is
 * removed although it runs announces itself again.
 *
 * @module
 */
import type { StoreHost } from "../hosts/mod.ts";
import type { EntryContext } from "./entry_context.ts";
import { INSTANCES_PARTITION } from "./follow_store_topics.ts";
import { isAlive, probeInstance } from "./probe_instance.ts";
import { createSilentInstances } from "./silent_instances.ts";
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
  const { clock, instances, ownedDomains, peerContact, rpc, self, stopping } =
    host;
  const { signal } = stopping;
  const silent = createSilentInstances(clock);
  while (!signal.aborted) {
    await clock.sleep(CHECK_INTERVAL_MS, signal);
    const others = ownedDomains.count() === 0
      ? []
      : instances.addresses().filter((address) => address !== self);
    await Promise.all(
      silent.nextChecks(others).map(async (instance) => {
        const outcome = await probeInstance(instance);
        silent.record(
          instance,
          isAlive(outcome, peerContact.silentMs(instance)),
        );
      }),
    );
    const confirming = others.filter((other) => !silent.isSilent(other))
      .slice(0, MAX_CONFIRMING_INSTANCES);
    // If none of several others answers, this instance itself is partitioned.
    if (confirming.length === 0 && others.length > 1) continue;
    for (const instance of silent.gone()) {
      if (!await isUnreachableFor(rpc, confirming, instance)) continue;
      await removeAnnouncement(host, instance);
    }
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
