/** The lowest rate of another machine's clock, relative to the local clock. */
export const MIN_CLOCK_RATE = 0.98;
/**
 * For how long an owner grants leases without an answer of the store or of most
 * workers with a start permit, in milliseconds.
 */
export const UNWITNESSED_GRANT_MS = 3_000;
/**
 * The latest end of a lease, counted from the last answer of the store or of
 * most workers with a start permit, in milliseconds.
 */
export const WITNESSED_LEASE_MS = 6_500;
/**
 * The latest end of a lease that rests on answers of workers, counted from the
 * last confirmation of the ownership by the store, in milliseconds.
 */
export const CONFIRMED_LEASE_MS = 12_000;
/** Time for a worker to end its tasks after the expiry, in milliseconds. */
const LEASE_END_MARGIN_MS = 400;

/** The longest time until a lease on a slow clock has ended, with a margin. */
export function maxLeaseDurationMs(leaseMs: number): number {
  return leaseMs / MIN_CLOCK_RATE + LEASE_END_MARGIN_MS;
}
