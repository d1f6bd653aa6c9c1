/**
 * The end of earlier owners of a domain, after which their leases expire.
 *
 * @module
 */
import { createChildController, NO_LONGER_NEEDED } from "../base/mod.ts";
import type { OwnerEntry } from "../domain/mod.ts";
import { maxLeaseDurationMs, MIN_CLOCK_RATE } from "./lease_time.ts";
import { emit, type OwnerState } from "./owner_state.ts";
import { RELAY_GRANT_MS } from "./relay/mod.ts";

/** Delay between two checks whether most workers refuse an owner, in ms. */
const REFUSAL_CHECK_INTERVAL_MS = 50;
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
      instance: owner.instance,
      epoch: owner.epoch,
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
  /** Most workers with a start permit refuse it since long enough. */
  | "refused"
  /** It has not been confirmed by the store for too long. */
  | "expired";

/** Waits until an earlier owner can grant no more leases. */
async function awaitEarlierOwner(
  state: OwnerState,
  owner: OwnerEntry,
): Promise<EarlierOwnerEnd> {
  const { clock, signal, ownershipValidMs } = state.host;
  const controller = createChildController(signal);
  const end = await Promise.race([
    awaitConfirmation(state, owner, controller.signal),
    awaitRefusal(state, owner, controller.signal),
    clock.sleep(ownershipValidMs, controller.signal)
      .then((): EarlierOwnerEnd => "expired"),
  ]);
  controller.abort(NO_LONGER_NEEDED);
  return end;
}

async function awaitConfirmation(
  { host }: OwnerState,
  owner: OwnerEntry,
  signal: AbortSignal,
): Promise<EarlierOwnerEnd> {
  const { clock, partition } = host;
  while (!await host.hasStoppedGranting(owner, partition.number)) {
    await clock.sleep(EARLIER_OWNER_POLL_INTERVAL_MS, signal);
    if (signal.aborted) break;
  }
  return "confirmed";
}

async function awaitRefusal(
  state: OwnerState,
  owner: OwnerEntry,
  signal: AbortSignal,
): Promise<EarlierOwnerEnd> {
  const { clock } = state.host;
  while (!signal.aborted && !isRefusedByMost(state)) {
    await clock.sleep(REFUSAL_CHECK_INTERVAL_MS, signal);
  }
  await clock.sleep(maxGrantAfterRefusalMs(state, owner), signal);
  return "refused";
}

/**
 * Whether an earlier owner can get answers from at most half of the workers
 * with a start permit: the others have answered this owner, or have ended.
 */
function isRefusedByMost({ domain, restoredPermits }: OwnerState): boolean {
  return 2 * domain.unsettledWorkers.size <= restoredPermits;
}

/** For how long an owner may grant leases once most workers refuse it, in ms. */
function maxGrantAfterRefusalMs(
  { host }: OwnerState,
  { unwitnessedGrantMs = host.ownershipValidMs }: OwnerEntry,
): number {
  return unwitnessedGrantMs / MIN_CLOCK_RATE;
}
