/**
 * The rate of submissions of client accounts: a token bucket for each account
 * that has not been idle for long enough to refill its bucket. The buckets are
 * the owner's and are lost with it; a new owner starts with full ones.
 *
 * @module
 */
import type { Domain } from "./domain.ts";

const MS_PER_SECOND = 1_000;
/** The size of a bucket, as the time in which its account's rate fills it. */
const BURST_SECONDS = 1;
/** Absorbs rounding errors of a refill. */
const TOKEN_TOLERANCE = 1e-6;
/** An account counts as calm after this time within its rate. */
const CALM_AFTER_MS = 5_000;
/** Excesses beyond this number at a time are not logged by account. */
const MAX_LOGGED_EXCESSES = 10;

/** The submissions of a client account that exceed its rate. */
export type AccountExcess = {
  /** When the first and the last one came, on the steady clock. */
  startedAtMs: number;
  latestAtMs: number;
  acceptedCount: number;
  refusedCount: number;
  /** When the last refused submission is asked to return (steady clock). */
  returnsAtMs: number;
  isLogged: boolean;
};

/** The recent submissions of a client account. */
export type AccountRate = {
  /** Submissions that it may make now. */
  tokens: number;
  /** When `tokens` was last updated, on the steady clock. */
  updatedAtMs: number;
  excess: AccountExcess | undefined;
};

/**
 * Counts a submission of a client account.
 *
 * @returns the excess that the submission belongs to; undefined if it is within
 *   the account's rate, or the account has none
 *
 * @example
 * ```ts
 * const isBeyondRate = countSubmission(domain, "desk", nowMs) !== undefined;
 * ```
 */
export function countSubmission(
  domain: Domain,
  account: string | undefined,
  nowMs: number,
): AccountExcess | undefined {
  if (account === undefined) return undefined;
  const weight = domain.clientAccounts.get(account)?.weight ?? 0;
  if (weight <= 0) return undefined;
  const rate = getOrCreateRate(domain, account, weight, nowMs);
  refill(rate, weight, nowMs);
  if (rate.tokens >= 1 - TOKEN_TOLERANCE) {
    rate.tokens -= 1;
    return undefined;
  }
  rate.excess ??= startExcess(domain, account, weight, nowMs);
  rate.excess.latestAtMs = nowMs;
  return rate.excess;
}

/**
 * Reverses the count of a submission within its account's rate, which has been
 * rejected since: it is to come again.
 */
export function uncountSubmission(
  domain: Domain,
  account: string | undefined,
): void {
  const rate = account === undefined
    ? undefined
    : domain.accountRates.get(account);
  // Tokens beyond the size of the bucket are removed by the next refill.
  if (rate !== undefined) rate.tokens += 1;
}

function getOrCreateRate(
  domain: Domain,
  account: string,
  weight: number,
  nowMs: number,
): AccountRate {
  const known = domain.accountRates.get(account);
  if (known !== undefined) return known;
  const created: AccountRate = {
    tokens: bucketSize(weight),
    updatedAtMs: nowMs,
    excess: undefined,
  };
  domain.accountRates.set(account, created);
  return created;
}

/** The bucket of an account with a low rate holds at least one token. */
function bucketSize(weight: number): number {
  return Math.max(1, weight * BURST_SECONDS);
}

function refill(rate: AccountRate, weight: number, nowMs: number): void {
  const elapsedS = Math.max(0, nowMs - rate.updatedAtMs) / MS_PER_SECOND;
  rate.tokens = Math.min(bucketSize(weight), rate.tokens + elapsedS * weight);
  rate.updatedAtMs = nowMs;
}

function startExcess(
  domain: Domain,
  account: string,
  weight: number,
  nowMs: number,
): AccountExcess {
  const isLogged = mayLogExcess(domain);
  if (isLogged) {
    domain.commands.push({
      kind: "report",
      message: "A client account exceeds its rate.",
      fields: { account, ratePerSecond: weight },
    });
  }
  return {
    startedAtMs: nowMs,
    latestAtMs: nowMs,
    acceptedCount: 0,
    refusedCount: 0,
    returnsAtMs: nowMs,
    isLogged,
  };
}

function mayLogExcess({ accountRates }: Domain): boolean {
  let count = 0;
  for (const { excess } of accountRates.values()) {
    if (excess?.isLogged === true) count += 1;
    if (count === MAX_LOGGED_EXCESSES) return false;
  }
  return true;
}

/**
 * Ends the excesses of accounts that have kept within their rates for a while,
 * and removes the buckets that are full again.
 */
export function purgeAccountRates(domain: Domain, nowMs: number): void {
  for (const [account, rate] of domain.accountRates) {
    const weight = domain.clientAccounts.get(account)?.weight ?? 0;
    refill(rate, weight, nowMs);
    const { excess } = rate;
    if (excess !== undefined && nowMs - excess.latestAtMs >= CALM_AFTER_MS) {
      rate.excess = undefined;
      if (excess.isLogged) reportEndedExcess(domain, account, excess);
    }
    const isFull = rate.tokens >= bucketSize(weight) - TOKEN_TOLERANCE;
    if (rate.excess === undefined && (isFull || weight <= 0)) {
      domain.accountRates.delete(account);
    }
  }
}

function reportEndedExcess(
  domain: Domain,
  account: string,
  excess: AccountExcess,
): void {
  domain.commands.push({
    kind: "report",
    message: "A client account keeps within its rate again.",
    fields: {
      account,
      lastedMs: Math.round(excess.latestAtMs - excess.startedAtMs),
      accepted: excess.acceptedCount,
      refused: excess.refusedCount,
    },
  });
}

/**
 * Returns when a refused submission of an account should be repeated, in
 * milliseconds: refused submissions return at the account's rate, one after the
 * other.
 */
export function nextReturnMs(
  excess: AccountExcess,
  weight: number,
  nowMs: number,
): number {
  const intervalMs = MS_PER_SECOND / weight;
  excess.returnsAtMs = Math.max(nowMs, excess.returnsAtMs) + intervalMs;
  return excess.returnsAtMs - nowMs;
}
