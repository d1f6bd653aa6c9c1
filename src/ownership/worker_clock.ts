import { MIN_CLOCK_RATE } from "./lease_time.ts";

/** Time for a worker to end its tasks after the lapse, in milliseconds. */
const EXPIRY_MARGIN_MS = 300;

/** What is known of a worker's clock and of the leases that it may have. */
export type WorkerClock = {
  /** A reading of the worker's clock, and when its answer arrived. */
  sample: { clockMs: number; atMs: number } | undefined;
  /** When every lease that may have been given has surely lapsed. */
  leasesExpireAtMs: number;
};

/** Takes a reading that came with an answer. */
export function recordReading(
  clock: WorkerClock,
  clockMs: number,
  nowMs: number,
): void {
  clock.sample = { clockMs, atMs: nowMs };
}

/**
 * The end of a lease on the worker's clock that begins now. The worker may
 * receive it at any later time, so the lapse is put off right away.
 */
export function grantLease(
  clock: WorkerClock,
  leaseMs: number,
  nowMs: number,
): number | undefined {
  const { sample } = clock;
  if (sample === undefined) return undefined;
  const untilMs = sample.clockMs + (nowMs - sample.atMs) + leaseMs;
  const expiresAtMs = sample.atMs +
    (untilMs - sample.clockMs) / MIN_CLOCK_RATE + EXPIRY_MARGIN_MS;
  clock.leasesExpireAtMs = Math.max(clock.leasesExpireAtMs, expiresAtMs);
  return Math.floor(untilMs);
}
