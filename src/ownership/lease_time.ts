/** The slowest rate of another machine's clock, against ours. */
export const MIN_CLOCK_RATE = 0.98;
/** Time for a worker to end its tasks after the lapse, in milliseconds. */
const LEASE_END_MARGIN_MS = 400;

/** How long a lease may last on a slow clock, with a margin for its end. */
export function maxLeaseDurationMs(leaseMs: number): number {
  return leaseMs / MIN_CLOCK_RATE + LEASE_END_MARGIN_MS;
}
