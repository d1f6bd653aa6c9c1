/** The slowest rate of another machine's clock, against ours. */
export const SLOWEST_RATE = 0.98;
/** Time for a worker to end its tasks after the lapse, in milliseconds. */
const LEASE_END_MARGIN_MS = 400;

/** How long a lease may last on a slow clock, with a margin for its end. */
export function longestLeaseMs(leaseMs: number): number {
  return leaseMs / SLOWEST_RATE + LEASE_END_MARGIN_MS;
}
