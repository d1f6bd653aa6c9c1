/**
 * Finds an owner that has died or is out of reach long before the store drops
 * its membership, and has this instance take its place. The epoch keeps that
 * safe: an owner that was deposed by mistake can neither commit nor order.
 *
 * @module
 */
import { leaveFor } from "./leave_for.ts";
import { probeInstance } from "./probe_instance.ts";
import type { Running } from "./running.ts";
import { createSuspicion } from "./suspicion.ts";

/** Pause between two probes of an owner, in milliseconds. */
const PROBE_INTERVAL_MS = 100;
/** Pause of an instance that is no candidate, in milliseconds. */
const IDLE_INTERVAL_MS = 1_000;
/** How many of the best candidates probe the owners. */
const PROBING_CANDIDATES = 4;
/** How many other instances are asked whether they reach an owner. */
const MAX_VIEWS = 5;
/** Pause after an owner was deposed, in which its successor shows up, in ms. */
const DEPOSED_PAUSE_MS = 1_500;

/** Probes the owners until this instance stops. */
export async function superviseOwners(running: Running): Promise<void> {
  const { clock, directory, stopping, instances, self } = running;
  const { signal } = stopping;
  const suspicion = createSuspicion();
  while (!signal.aborted) {
    const owners = new Set(Object.values(directory.knownOwners()));
    const rank = instances.rank([...owners]);
    if (rank === undefined || rank >= PROBING_CANDIDATES || owners.has(self)) {
      await clock.sleep(IDLE_INTERVAL_MS, signal);
      continue;
    }
    for (const owner of owners) {
      suspicion.note(owner, await probeInstance(owner));
      if (!suspicion.isDue(owner, rank)) continue;
      const isSilent = await isSilentForOthers(running, owner);
      suspicion.note(owner, true);
      if (!isSilent) continue;
      await depose(running, owner);
      await clock.sleep(DEPOSED_PAUSE_MS, signal);
    }
    await clock.sleep(PROBE_INTERVAL_MS, signal);
  }
}

/**
 * Whether other instances do not reach an owner either. Without an answer of
 * any of them, it is this instance that is cut off.
 */
async function isSilentForOthers(
  running: Running,
  owner: string,
): Promise<boolean> {
  const { instances, rpc, self } = running;
  const others = instances.addresses().filter((address) =>
    address !== self && address !== owner
  );
  if (others.length === 0) return true;
  const views = await Promise.all(
    others.slice(0, MAX_VIEWS).map((other) => rpc.reach(other, owner)),
  );
  return views.includes(false) && !views.includes(true);
}

/** Takes the place of an owner, if it still is one. */
async function depose(running: Running, owner: string): Promise<void> {
  const { directory, logger, membership } = running;
  await directory.refresh();
  if (!Object.values(directory.knownOwners()).includes(owner)) return;
  logger.part("ownership").warn("Deposes an owner that does not answer.", {
    owner,
  });
  const left = await leaveFor(running, owner);
  if (left.isErr()) {
    logger.part("ownership").warn("The store did not free its domains.", {
      owner,
      fault: left.error.kind,
      cause: left.error.message,
    });
    return;
  }
  membership?.confirm();
}
