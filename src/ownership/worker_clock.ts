import { MIN_CLOCK_RATE } from "./lease_time.ts";

/** Time for a worker to end its tasks after the expiry, in milliseconds. */
const EXPIRY_MARGIN_MS = 300;

/**
 * The most by which a reading differs from what is expected, apart from the rate
 * of the clock, in milliseconds: answers are delayed by the network, and by a
 * process that is busy.
 */
const MAX_READING_ERROR_MS = 2_000;

/** The last reading of a worker's clock, and the expiry of its leases. */
export type WorkerClock = {
  /** A reading of the worker's clock, and its arrival on the local clock. */
  sample: { clockMs: number; atMs: number } | undefined;
  /** When all leases that the worker may have received have expired. */
  leasesExpireAtMs: number;
  /** The last lease: its end on the worker's clock, and when it was granted. */
  lastGrant: { untilMs: number; atMs: number } | undefined;
};

/** The clock of a worker that has not answered yet. */
export function createWorkerClock(): WorkerClock {
  return { sample: undefined, leasesExpireAtMs: 0, lastGrant: undefined };
}

/** What the worker's clock shows now if it has not restarted. */
export function expectedReading(
  { sample }: WorkerClock,
  nowMs: number,
): number | undefined {
  return sample && sample.clockMs + (nowMs - sample.atMs);
}

/**
 * Whether a reading can come from the clock that was read before. If not, the
 * worker has restarted.
 */
export function isSameClock(
  clock: WorkerClock,
  clockMs: number,
  nowMs: number,
): boolean {
  const { sample } = clock;
  const expectedMs = expectedReading(clock, nowMs);
  if (sample === undefined || expectedMs === undefined) return true;
  const driftMs = (nowMs - sample.atMs) * (1 - MIN_CLOCK_RATE);
  return Math.abs(clockMs - expectedMs) <= MAX_READING_ERROR_MS + driftMs;
}

/** Records a clock reading that arrived with an answer. */
export function recordReading(
  clock: WorkerClock,
  clockMs: number,
  nowMs: number,
): void {
  clock.sample = { clockMs, atMs: nowMs };
}

/**
 * Grants a lease that starts now. The worker may receive the lease at any later
 * time, so its expiry is recorded before it is sent.
 *
 * @returns the end of the lease on the worker's clock; undefined before the
 * first reading of that clock
 */
export function grantLease(
  clock: WorkerClock,
  leaseMs: number,
  nowMs: number,
): number | undefined {
  const { sample } = clock;
  const readingMs = expectedReading(clock, nowMs);
  if (sample === undefined || readingMs === undefined) return undefined;
  const untilMs = readingMs + leaseMs;
  clock.lastGrant = { untilMs, atMs: nowMs };
  const expiresAtMs = sample.atMs +
    (untilMs - sample.clockMs) / MIN_CLOCK_RATE + EXPIRY_MARGIN_MS;
  clock.leasesExpireAtMs = Math.max(clock.leasesExpireAtMs, expiresAtMs);
  return Math.floor(untilMs);
}

/**
 * When the longest lease that a worker can have granted by now has expired.
 *
 * @param maxLeaseMs the longest lease that a worker grants, in milliseconds
 */
export function longestLeaseEndMs(maxLeaseMs: number, nowMs: number): number {
  return nowMs + maxLeaseMs / MIN_CLOCK_RATE + EXPIRY_MARGIN_MS;
}

/**
 * Records that the worker may hold a lease that was meant for a former
 * incarnation. It has shortened the lease to the longest that it grants.
 */
export function expectForeignLease(
  clock: WorkerClock,
  maxLeaseMs: number,
  nowMs: number,
): void {
  clock.leasesExpireAtMs = Math.max(
    clock.leasesExpireAtMs,
    longestLeaseEndMs(maxLeaseMs, nowMs),
  );
}
