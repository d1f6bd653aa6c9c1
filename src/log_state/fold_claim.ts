import type { Claim } from "./claim.ts";
import type { LogRecordOf } from "./log_record.ts";
import type { LogState } from "./log_state.ts";

/** How long an idempotency key stays bound to its request. */
export const CLAIM_RETENTION_MS = 24 * 3_600_000;

/**
 * Folds a claim of an idempotency key; the first claim holds, until one
 * replaces it whose request surely did not run.
 *
 * @example
 * ```ts
 * foldClaim(state, record);
 * ```
 */
export function foldClaim(
  state: LogState,
  record: LogRecordOf<"claim">,
): void {
  const name = claimName(record.customer, record.key);
  const known = state.claims.get(name);
  if (known !== undefined && known.requestId !== record.replaces) return;
  state.claims.set(name, {
    customer: record.customer,
    key: record.key,
    requestId: record.requestId,
    digest: record.digest,
    atMs: state.clockMs,
  });
}

/**
 * Drops the claims whose retention has passed on the log's own clock.
 *
 * @example
 * ```ts
 * forgetClaims(state);
 * ```
 */
export function forgetClaims(state: LogState): void {
  for (const [name, claim] of state.claims) {
    if (claim.atMs + CLAIM_RETENTION_MS > state.clockMs) return;
    state.claims.delete(name);
  }
}

/**
 * Finds the request that an idempotency key is bound to.
 *
 * @example
 * ```ts
 * const claim = claimOf(state, "press", "order-1893");
 * ```
 */
export function claimOf(
  state: LogState,
  customer: string,
  key: string,
): Claim | undefined {
  return state.claims.get(claimName(customer, key));
}

/**
 * Names a claim, for use as a key.
 *
 * @example
 * ```ts
 * state.claims.get(claimName("press", "order-1893"));
 * ```
 */
export function claimName(customer: string, key: string): string {
  return `${customer}\0${key}`;
}
