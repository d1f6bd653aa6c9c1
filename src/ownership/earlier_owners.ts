/**
 * The end of earlier owners of a domain, after which their leases expire.
 *
 * @module
 */
import type { OwnerEntry } from "../domain/mod.ts";
import { maxLeaseDurationMs } from "./lease_time.ts";
import { emit, type OwnerState } from "./owner_state.ts";
import { RELAY_GRANT_MS } from "./relay/mod.ts";

/** Delay between two checks whether an earlier owner has ended, in ms. */
const EARLIER_OWNER_POLL_INTERVAL_MS = 400;

/**
 * Waits until the earlier owners have ended, and records their end. Their leases
 * then expire earlier: an owner that may still run may have renewed a lease just
 * now, but one that has ended leaves only the leases that it granted before.
 */
export async function awaitEarlierOwners(
  state: OwnerState,
  earlierOwners: OwnerEntry[],
): Promise<void> {
  const { host } = state;
  const { signal, clock } = host;
  await Promise.all(earlierOwners.map(async (owner) => {
    const startedAtMs = clock.steadyMs();
    const cause = await awaitEarlierOwner(state, owner);
    if (signal.aborted) return;
    host.logger.info("An earlier owner grants no more leases.", {
      ...owner,
      partition: host.partition.number,
      cause,
      waitedMs: Math.round(clock.steadyMs() - startedAtMs),
    });
    emit(state, { kind: "ownerEnded", owner });
  }));
  // Relays of an owner may grant leases for RELAY_GRANT_MS after it has ended.
  const earlierLeasesExpireAtMs = clock.steadyMs() +
    maxLeaseDurationMs(host.leaseMs + RELAY_GRANT_MS);
  state.earlierLeasesExpireAtMs = Math.min(
    state.earlierLeasesExpireAtMs,
    earlierLeasesExpireAtMs,
  );
  state.relayedLinks.sendLeaseFloor();
}

/** How an owner knows that an earlier one grants no more leases. */
type EarlierOwnerEnd =
  /** Its instance has said so. */
  | "confirmed"
  /** It has not been confirmed by the store for too long. */
  | "expired";

/** Waits until an earlier owner can grant no more leases. */
async function awaitEarlierOwner(
  { host }: OwnerState,
  owner: OwnerEntry,
): Promise<EarlierOwnerEnd> {
  const { clock, signal, partition } = host;
  const deadlineMs = clock.steadyMs() + host.ownershipValidMs;
  while (!signal.aborted && clock.steadyMs() < deadlineMs) {
    if (await host.hasStoppedGranting(owner, partition.number)) {
      return "confirmed";
    }
    await clock.sleep(EARLIER_OWNER_POLL_INTERVAL_MS, signal);
  }
  return "expired";
}
