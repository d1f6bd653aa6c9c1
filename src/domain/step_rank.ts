/**
 * The order in which a scheduling pass handles waiting steps.
 *
 * @module
 */
import { addResources, fitsInto, type Resources } from "../model/mod.ts";
import type { QueuePolicy } from "./job.ts";
import { allocationOf } from "./task_placement.ts";
import { isExcess, type StepRun } from "./step_run.ts";

/** How the current time relates to a step's deadlines. */
type DeadlineTier =
  /** Can still meet its objective, or is exempt from lateness. */
  | 0
  /** Late, but the result is still useful. */
  | 1
  /** The result is no longer useful; runs only in leftover capacity. */
  | 2;

/** What the ranks of steps depend on, besides the steps themselves. */
export type RankContext = {
  /** The wall clock, in milliseconds since the epoch. */
  wallMs: number;
  /** The resources that the placed tasks of each agreement allocate. */
  allocatedByAgreement: Map<string, Resources>;
  /** Client accounts that use more than their share while capacity is short. */
  accountsOverShare: Set<string>;
  /** The services whose workers are short of capacity. */
  shortServices: { has(service: string): boolean };
};

/**
 * What puts a step behind others, in powers of two: each outweighs all that
 * follow it.
 */
const RANK_WEIGHTS = {
  useless: 32,
  beyondRate: 16,
  late: 8,
  overShare: 4,
  notUrgent: 2,
  accountOverShare: 1,
};

/** A step with the keys that it is sorted by. */
type RankedStep = {
  run: StepRun;
  rankClass: number;
  priority: number;
  latestStartMs: number;
};

/**
 * Sorts steps by rank, the first to be scheduled first:
 *
 * 1. Steps whose results are no longer useful come last.
 * 2. Steps of jobs that exceeded the rate of their client account come after
 *    all others, late ones included.
 * 3. Steps that can still meet their objective come before late ones, so that a
 *    backlog does not make all work late. Steps of priority 0 are exempt while
 *    their results are useful, because they are short, and long-running steps
 *    always are.
 * 4. Steps whose agreement would exceed its share come after the others.
 * 5. Steps of priority 0 (or above it) come before the others.
 * 6. While the service is short of capacity, steps of client accounts that use
 *    more than their share come after the others of either kind.
 * 7. The priority of the queue.
 * 8. The least slack.
 *
 * @example
 * ```ts
 * const [first] = sortByRank(domain.waitingSteps, context);
 * ```
 */
export function sortByRank(
  runs: Iterable<StepRun>,
  context: RankContext,
): StepRun[] {
  return [...runs]
    .map((run): RankedStep => ({
      run,
      rankClass: rankClassOf(run, context),
      priority: run.jobRun.job.policy.priority,
      latestStartMs: run.latestStartMs,
    }))
    .sort((left, right) =>
      left.rankClass - right.rankClass ||
      left.priority - right.priority ||
      left.latestStartMs - right.latestStartMs
    )
    .map(({ run }) => run);
}

/** Sums the weights of what puts a step behind others. */
function rankClassOf(run: StepRun, context: RankContext): number {
  const { policy } = run.jobRun.job;
  const deadlineTier = deadlineTierOf(run, context.wallMs);
  let rankClass = 0;
  if (deadlineTier === 2) rankClass += RANK_WEIGHTS.useless;
  if (isExcess(run)) rankClass += RANK_WEIGHTS.beyondRate;
  if (deadlineTier === 1) rankClass += RANK_WEIGHTS.late;
  if (isOverShare(run, context.allocatedByAgreement)) {
    rankClass += RANK_WEIGHTS.overShare;
  }
  if (policy.priority > 0) rankClass += RANK_WEIGHTS.notUrgent;
  if (isAccountOverShare(policy, context)) {
    rankClass += RANK_WEIGHTS.accountOverShare;
  }
  return rankClass;
}

function isAccountOverShare(
  { clientAccount, service }: QueuePolicy,
  { accountsOverShare, shortServices }: RankContext,
): boolean {
  return clientAccount !== undefined && accountsOverShare.has(clientAccount) &&
    shortServices.has(service);
}

function deadlineTierOf(run: StepRun, wallMs: number): DeadlineTier {
  if (run.step.longRunning) return 0;
  if (wallMs > run.uselessAfterMs) return 2;
  const isExempt = run.jobRun.job.policy.priority === 0;
  return wallMs > run.latestStartMs && !isExempt ? 1 : 0;
}

/** Whether one more task would make its agreement exceed its share. */
function isOverShare(
  run: StepRun,
  allocatedByAgreement: Map<string, Resources>,
): boolean {
  const { agreement, share } = run.jobRun.job.policy;
  if (agreement === undefined || share === undefined) return false;
  const demand = allocationOf(run.step);
  const allocated = allocatedByAgreement.get(agreement);
  const allocatedWithTask = allocated === undefined
    ? demand
    : addResources(allocated, demand);
  return !fitsInto(allocatedWithTask, share);
}
