/**
 * The incarnations of the workers of a domain. One that an owner does not know to
 * have run for long may hold a lease that was meant for a former incarnation, by
 * this owner or an earlier one, and that lasts for longer than owners grant.
 *
 * @module
 */
import type { StartPermit } from "../domain/mod.ts";
import type { Clock } from "../hosts/mod.ts";
import { longestLeaseEndMs } from "./worker_clock.ts";

/**
 * An incarnation with a permit that has run for this long has refused calls meant
 * for former ones for longer than their leases last, in milliseconds: calls may be
 * carried out seconds late, and clocks of machines differ.
 */
const SETTLED_AGE_MS = 30_000;

/** What an owner knows of the incarnations of its workers. */
export type Incarnations = {
  /** Records the incarnation that a worker has reported. */
  record(worker: string, bornMs: number): void;
  /**
   * The known incarnation of a worker; 0 if an earlier owner may have called one
   * that is not known; undefined if nobody has called the worker before.
   */
  knownBornMs(worker: string): number | undefined;
  /**
   * When all leases meant for former incarnations have expired at a worker, on
   * the steady clock.
   */
  earlierLeasesExpireAtMs(worker: string): number;
};

type Incarnation = { bornMs: number; earlierLeasesExpireAtMs: number };

/** Dependencies of the incarnations. */
export type IncarnationsHost = {
  clock: Clock;
  /** The longest lease that a worker grants, in milliseconds. */
  maxLeaseMs: number;
  /** Whether an earlier owner may have called workers. */
  hasEarlierOwners: boolean;
  /** Permits of earlier owners, by worker. */
  startPermits: ReadonlyMap<string, StartPermit>;
};

/**
 * Creates the incarnations that a new owner knows from the permits of the owner
 * before.
 *
 * @example
 * ```ts
 * const incarnations = createIncarnations(host);
 * incarnations.record("i-7f3a91c2", 1_780_000_000_000);
 * ```
 */
export function createIncarnations(host: IncarnationsHost): Incarnations {
  const { clock, maxLeaseMs, hasEarlierOwners, startPermits } = host;
  const known = new Map<string, Incarnation>();
  for (const [worker, { bornMs }] of startPermits) {
    if (clock.nowMs() - bornMs < SETTLED_AGE_MS) continue;
    known.set(worker, { bornMs, earlierLeasesExpireAtMs: 0 });
  }
  const earlierLeasesExpireAtMs = hasEarlierOwners
    ? longestLeaseEndMs(maxLeaseMs, clock.steadyMs())
    : 0;

  return {
    record(worker, bornMs) {
      const before = known.get(worker);
      if (before?.bornMs === bornMs) return;
      const isFirst = before === undefined && !hasEarlierOwners;
      known.set(worker, {
        bornMs,
        earlierLeasesExpireAtMs: isFirst
          ? 0
          : longestLeaseEndMs(maxLeaseMs, clock.steadyMs()),
      });
    },
    knownBornMs: (worker) =>
      known.get(worker)?.bornMs ?? (hasEarlierOwners ? 0 : undefined),
    earlierLeasesExpireAtMs: (worker) =>
      known.get(worker)?.earlierLeasesExpireAtMs ?? earlierLeasesExpireAtMs,
  };
}

/**
 * Whether an incarnation may hold a lease that was meant for a former one.
 *
 * @param knownBornMs as of {@linkcode Incarnations}
 */
export function mayHoldEarlierLease(
  bornMs: number,
  knownBornMs: number | undefined,
): boolean {
  return knownBornMs !== undefined && knownBornMs !== bornMs;
}
