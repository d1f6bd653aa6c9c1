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
 * Waits until it is known when the leases of the earlier owners end, and records
 * that these owners need not be waited for any more: an owner that may still run
 * may have renewed a lease just now, but one that has ended leaves only the
 * leases that it granted before.
 */
export async function awaitEarlierOwners(
  state: OwnerState,
  earlierOwners: OwnerEntry[],
): Promise<void> {
  const { host } = state;
  const { signal, clock } = host;
  const startedAtMs = clock.steadyMs();
  if (earlierOwners.length === 0) {
    return lowerExpiry(
      state,
      startedAtMs + maxLeaseDurationMs(host.leaseMs + RELAY_GRANT_MS),
    );
  }
  const latestExpiries = earlierOwners.map((owner) =>
    startedAtMs + maxLeaseAfterTakeoverMs(state, owner)
  );
  lowerExpiry(state, Math.max(...latestExpiries));
  const expiries = await Promise.all(earlierOwners.map(async (owner) => {
    const cause = await awaitEarlierOwner(state, owner);
    if (signal.aborted) return Infinity;
    host.logger.info("An earlier owner grants no more leases.", {
      instance: owner.instance,
      epoch: owner.epoch,
      partition: host.partition.number,
      cause,
      waitedMs: Math.round(clock.steadyMs() - startedAtMs),
    });
    emit(state, { kind: "ownerEnded", owner });
    return clock.steadyMs() + maxLeaseAfterEndMs(state, owner);
  }));
  lowerExpiry(state, Math.max(...expiries));
}

/** Lowers the time at which all leases of earlier owners have expired. */
function lowerExpiry(state: OwnerState, expiresAtMs: number): void {
  state.earlierLeasesExpireAtMs = Math.min(
    state.earlierLeasesExpireAtMs,
    expiresAtMs,
  );
  state.relayedLinks.sendLeaseFloor();
}

/** Longest time from a takeover to the end of an earlier owner's leases, in ms. */
function maxLeaseAfterTakeoverMs(
  { host }: OwnerState,
  { leaseLimits }: OwnerEntry,
): number {
  return maxLeaseDurationMs(
    leaseLimits?.confirmedMs ??
      host.ownershipValidMs + host.leaseMs + RELAY_GRANT_MS,
  );
}

/**
 * Longest time until the leases of an earlier owner end, from when it has had
 * its last answer of the store or of most workers, in milliseconds. Relays of an
 * owner may grant leases for RELAY_GRANT_MS after it has ended.
 */
function maxLeaseAfterEndMs(
  { host }: OwnerState,
  { leaseLimits }: OwnerEntry,
): number {
  return maxLeaseDurationMs(
    leaseLimits?.witnessedMs ?? host.leaseMs + RELAY_GRANT_MS,
  );
}

/** How an owner knows that an earlier one grants no more leases. */
type EarlierOwnerEnd =
  /** Its instance has said so. */
  | "confirmed"
  /** Most workers with a start permit refuse it, for long enough. */
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

/**
 * For how long an owner may grant leases once most workers refuse it, in ms. If
 * the ends of its leases are limited, it is not waited for.
 */
function maxGrantAfterRefusalMs(
  { host }: OwnerState,
  { unwitnessedGrantMs = host.ownershipValidMs, leaseLimits }: OwnerEntry,
): number {
  return leaseLimits === undefined ? unwitnessedGrantMs / MIN_CLOCK_RATE : 0;
}
