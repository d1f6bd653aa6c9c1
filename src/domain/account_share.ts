/**
 * The use of capacity by client accounts, against the shares that their weights
 * grant them while capacity is short.
 *
 * @module
 */
import { addResources, NO_RESOURCES } from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import { dominantShare } from "./reservations.ts";

/**
 * Time constant of the moving average of an account's use, in milliseconds. One
 * wide step counts for as long as a few ordinary ones.
 */
const AVERAGING_MS = 2_000;
/** The shortest time between two updates of the averages, in milliseconds. */
const MIN_UPDATE_INTERVAL_MS = 100;
/** Averages below this share of the domain's capacity are dropped. */
const MIN_SHARE = 1e-4;

/** The use of a domain's capacity by client accounts. */
export type AccountUse = {
  /** Moving averages of dominant shares of the capacity, by account. */
  shares: Map<string, number>;
  /** When they were last updated, on the steady clock. */
  updatedAtMs: number | undefined;
};

/** Updates the averages with what the placed tasks of accounts allocate now. */
export function updateAccountUse(domain: Domain, nowMs: number): void {
  if (domain.clientAccounts.size === 0) return;
  const { accountUse, allocatedByAccount } = domain;
  const elapsedMs = nowMs - (accountUse.updatedAtMs ?? nowMs);
  const isFirst = accountUse.updatedAtMs === undefined;
  if (!isFirst && elapsedMs < MIN_UPDATE_INTERVAL_MS) return;
  accountUse.updatedAtMs = nowMs;
  const kept = Math.exp(-elapsedMs / AVERAGING_MS);
  const { shares } = accountUse;
  for (const [account, share] of shares) {
    if (share * kept < MIN_SHARE) shares.delete(account);
    else shares.set(account, share * kept);
  }
  let capacity = NO_RESOURCES;
  for (const worker of domain.workers.values()) {
    capacity = addResources(capacity, worker.capacity);
  }
  for (const [account, allocated] of allocatedByAccount) {
    const share = (1 - kept) * dominantShare(allocated, capacity);
    shares.set(account, (shares.get(account) ?? 0) + share);
  }
}

/**
 * Returns the accounts whose part of the use of all accounts exceeds their
 * share: their weight over the weights of all accounts that use capacity or wait
 * for some. It is empty unless a step of the last pass lacked capacity.
 */
export function accountsOverShare(domain: Domain): Set<string> {
  const over = new Set<string>();
  const { clientAccounts, shortages, accountUse } = domain;
  if (clientAccounts.size === 0 || shortages.size === 0) return over;
  const active = new Set(accountUse.shares.keys());
  for (const run of domain.waitingSteps) {
    const { clientAccount } = run.jobRun.job.policy;
    if (clientAccount !== undefined) active.add(clientAccount);
  }
  const weightOf = (name: string) => clientAccounts.get(name)?.weight ?? 0;
  let totalWeight = 0;
  for (const name of active) totalWeight += weightOf(name);
  let totalUse = 0;
  for (const share of accountUse.shares.values()) totalUse += share;
  for (const [name, share] of accountUse.shares) {
    if (share * totalWeight > weightOf(name) * totalUse) over.add(name);
  }
  return over;
}
