import type { CurrentLease } from "../../src/hosts/mod.ts";

/** The one lease of a worker. */
export type Lease = {
  token: number;
  /** The holder, or the empty string where nobody holds the worker. */
  holder: string;
  /** When the lease lapses, on the steady clock in milliseconds. */
  expiresAtMs: number;
  lapsed: boolean;
  /** Holders that are refused in every command. */
  barred: Set<string>;
};

/** Builds the lease of a worker that nobody has held yet. */
export function createLease(): Lease {
  return {
    token: 0,
    holder: "",
    expiresAtMs: 0,
    lapsed: true,
    barred: new Set(),
  };
}

/** Starts the lease's time anew. */
export function extendLease(lease: Lease, leaseMs: number): void {
  lease.expiresAtMs = performance.now() + leaseMs;
}

/** Tells whether a token may command the worker now. */
export function isCurrent(lease: Lease, token: number): boolean {
  return token === lease.token && lease.holder !== "" && !lease.lapsed;
}

/** Describes the lease to somebody who was refused. */
export function describeLease(lease: Lease): CurrentLease {
  const { token, holder, lapsed } = lease;
  return { token, holder, lapsed };
}
