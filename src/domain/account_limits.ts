/**
 * The limits of client accounts in this domain: what an account may have
 * allocated already, and whether further tasks of it may start.
 *
 * @module
 */
import {
  addResources,
  capOf,
  combineResources,
  fitsInto,
  multiplyResources,
  NO_RESOURCES,
  type Resources,
  UNLIMITED_RESOURCES,
} from "../model/mod.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import { mayHaveUnlistedRuns } from "./job_lifecycle.ts";
import type { JobRun } from "./job_run.ts";
import { dominantShare } from "./reservations.ts";
import type { StepRun } from "./step_run.ts";
import { allocationOf } from "./task_placement.ts";

/** What waits because of the limit of an account. */
export type AccountWait = {
  /**
   * What a step needs at once: the first one while it holds others back, then
   * the one that needs the least share of the cap.
   */
  atOnce: Resources;
  /** Whether the first step holds others back. */
  holdsOthers: boolean;
  /** What all its waiting tasks need together. */
  total: Resources;
};

/**
 * The limit of an account in this domain. An account with a cap may start
 * nothing before its allotment is known, and nothing while its cap may have
 * been lowered unnoticed.
 */
function limitOf(domain: Domain, account: string): Resources {
  const { clientAccounts, accountLimits, isConfigurationStale } = domain;
  const known = clientAccounts.get(account);
  const hasCap = known !== undefined && capOf(known) !== undefined;
  if (isConfigurationStale && (known === undefined || hasCap)) {
    return NO_RESOURCES;
  }
  const limit = accountLimits.get(account);
  if (limit !== undefined) return limit;
  return hasCap ? NO_RESOURCES : UNLIMITED_RESOURCES;
}

/**
 * Returns what may be allocated to the tasks of each account: the placed ones,
 * and those that an earlier owner may have started without a record on workers
 * that have not reported since the takeover.
 *
 * @example
 * ```ts
 * const cpuMillis = sumPossibleAllocations(domain).get("north")?.cpuMillis;
 * ```
 */
export function sumPossibleAllocations(
  domain: Domain,
): Map<string, Resources> {
  const sums = boundUnrecorded(domain);
  for (const [account, placed] of domain.allocatedByAccount) {
    sums.set(account, addResources(sums.get(account) ?? NO_RESOURCES, placed));
  }
  return sums;
}

/**
 * Returns the most that unrecorded starts of earlier owners may have allocated,
 * by account: the demand of the tasks that they may have started, or the
 * capacity of the workers that may run them.
 */
function boundUnrecorded(domain: Domain): Map<string, Resources> {
  const bounds = new Map<string, Resources>();
  if (domain.unsettledWorkers.size === 0) return bounds;
  const capacity = unsettledCapacity(domain);
  const demands = new Map<string, UnplacedDemand>();
  for (const run of domain.jobs.values()) {
    const account = run.job.policy.clientAccount;
    if (account === undefined || !mayHaveUnlistedRuns(domain, run)) continue;
    const known = demands.get(account) ??
      { allocated: NO_RESOURCES, spareCpuMillis: 0 };
    demands.set(account, known);
    addUnplacedDemand(known, run);
  }
  for (const [account, { allocated, spareCpuMillis }] of demands) {
    const bound = combineResources(allocated, capacity, Math.min);
    const cpuMillis = bound.cpuMillis + spareCpuMillis;
    bounds.set(account, { ...bound, cpuMillis });
  }
  return bounds;
}

/** The demand of tasks that are neither placed nor done. */
type UnplacedDemand = {
  /** What they would allocate on workers. */
  allocated: Resources;
  /** Spare processor time, which they use beside that. */
  spareCpuMillis: number;
};

/**
 * Adds the demand of a job. Its earlier owner may have known that predecessors
 * of a step were done, or that further occurrences were due.
 */
function addUnplacedDemand(sum: UnplacedDemand, { job, occurrences }: JobRun) {
  const created = occurrences.get(0)?.steps;
  for (const [index, step] of job.steps.entries()) {
    const waitingCount = created?.get(index)?.waitingCount ?? step.taskCount;
    const count = job.schedule === undefined ? waitingCount : Infinity;
    const allocated = allocationOf(step);
    sum.allocated = addResources(
      sum.allocated,
      multiplyResources(allocated, count),
    );
    if (count === 0) continue;
    const spareCpuMillis = step.demand.cpuMillis - allocated.cpuMillis;
    if (spareCpuMillis > 0) sum.spareCpuMillis += spareCpuMillis * count;
  }
}

/** The capacity of the workers that have not reported since the takeover. */
function unsettledCapacity(domain: Domain): Resources {
  let capacity = NO_RESOURCES;
  for (const id of domain.unsettledWorkers) {
    const listing = domain.workers.get(id)?.listing;
    const isKnown = listing !== undefined &&
      listing.bornMs === domain.startPermits.get(id)?.bornMs;
    if (!isKnown) return UNLIMITED_RESOURCES;
    capacity = addResources(capacity, listing.capacity);
  }
  return capacity;
}

/** The limits of accounts in one scheduling pass. */
export type AccountLimits = {
  /** Whether some tasks of a step fit under the limit of its account. */
  admits(run: StepRun, taskCount: number): boolean;
  /** Records that the waiting tasks of a step wait for the limit. */
  recordWait(run: StepRun): void;
  /**
   * Whether a step may be prepared although it does not fit yet: what waits
   * before it is little, so that its turn comes soon.
   */
  isNearLimit(run: StepRun): boolean;
};

/** When steps of an account began to wait for its limit, and last did. */
export type AccountHold = { sinceMs: number; latestMs: number };

/**
 * For how long the first step that does not fit holds back the steps of its
 * account behind it, and for how long they may then pass, in milliseconds.
 * Without the one, a wide step would never find its room; without the other,
 * long runs before it could stop the whole account. The turns are those of the
 * account, since the first step may be another one each time. A hold is
 * forgotten if nothing has waited for as long.
 */
const HOLD_MS = 2_000;
/** Share of the limit of an account whose waiting work is prepared. */
const PREPARED_SHARE = 0.5;

/**
 * Creates the limits for a pass, and forgets what has waited in the last one.
 *
 * @example
 * ```ts
 * const limits = createAccountLimits(domain, moment);
 * if (!limits.admits(run, 1)) limits.recordWait(run);
 * ```
 */
export function createAccountLimits(
  domain: Domain,
  moment: Moment,
): AccountLimits {
  domain.accountWaits = new Map();
  for (const [account, { latestMs }] of domain.accountHolds) {
    if (moment.steadyMs - latestMs > HOLD_MS) {
      domain.accountHolds.delete(account);
    }
  }
  // Does not change in a pass, unlike what is placed.
  const unrecorded = boundUnrecorded(domain);
  /** The first step of each account that waits, if it holds others back. */
  const heads = new Map<string, StepRun | undefined>();

  /** Returns the cap of an account; infinite where it has none. */
  function knownCapOf(account: string): Resources {
    const known = domain.clientAccounts.get(account);
    const cap = known === undefined ? undefined : capOf(known);
    return cap ?? UNLIMITED_RESOURCES;
  }

  /** Whether it is the turn of the first step of an account that waits. */
  function holdsOthers(account: string): boolean {
    const nowMs = moment.steadyMs;
    const sinceMs = domain.accountHolds.get(account)?.sinceMs ?? nowMs;
    domain.accountHolds.set(account, { sinceMs, latestMs: nowMs });
    return Math.floor((nowMs - sinceMs) / HOLD_MS) % 2 === 0;
  }

  return {
    admits(run, taskCount) {
      const { jobRun, step } = run;
      const account = jobRun.job.policy.clientAccount;
      if (account === undefined) return true;
      const head = heads.get(account);
      // Steps that run until they are cancelled must not stand still.
      const isHeld = head !== undefined && head !== run && !step.longRunning;
      if (isHeld) return false;
      const limit = limitOf(domain, account);
      if (limit === UNLIMITED_RESOURCES) return true;
      const placed = domain.allocatedByAccount.get(account) ?? NO_RESOURCES;
      const used = addResources(
        placed,
        unrecorded.get(account) ?? NO_RESOURCES,
      );
      const demand = multiplyResources(step.demand, taskCount);
      return fitsInto(addResources(used, demand), limit);
    },
    recordWait(run) {
      const { jobRun, step, waitingCount } = run;
      const account = jobRun.job.policy.clientAccount;
      if (account === undefined) return;
      const total = multiplyResources(step.demand, waitingCount);
      const atOnce = step.gang ? total : step.demand;
      const cap = knownCapOf(account);
      // More than the cap can never start at once.
      if (!fitsInto(atOnce, cap)) return;
      if (!heads.has(account)) {
        heads.set(account, holdsOthers(account) ? run : undefined);
      }
      const known = domain.accountWaits.get(account);
      const isHolding = heads.get(account) !== undefined;
      const isNext = known === undefined ||
        !isHolding &&
          dominantShare(atOnce, cap) < dominantShare(known.atOnce, cap);
      domain.accountWaits.set(account, {
        atOnce: isNext ? atOnce : known.atOnce,
        holdsOthers: isHolding,
        total: known === undefined ? total : addResources(known.total, total),
      });
    },
    isNearLimit({ jobRun }) {
      const account = jobRun.job.policy.clientAccount;
      if (account === undefined) return true;
      const waiting = domain.accountWaits.get(account)?.total ?? NO_RESOURCES;
      const limit = limitOf(domain, account);
      return fitsInto(waiting, multiplyResources(limit, PREPARED_SHARE));
    },
  };
}

/** Whether the limit of its account keeps the next task of a step waiting. */
export function isLimitedByAccount(domain: Domain, run: StepRun): boolean {
  const { jobRun, step } = run;
  const account = jobRun.job.policy.clientAccount;
  if (account === undefined) return false;
  const demand = multiplyResources(step.demand, step.gang ? step.taskCount : 1);
  const used = sumPossibleAllocations(domain).get(account) ?? NO_RESOURCES;
  return !fitsInto(addResources(used, demand), limitOf(domain, account));
}
