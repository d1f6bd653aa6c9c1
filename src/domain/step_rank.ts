/**
 * The order in which a scheduling pass handles waiting steps.
 *
 * @module
 */
import { addResources, fitsInto, type Resources } from "../model/mod.ts";
import { allocationOf } from "./task_placement.ts";
import type { StepRun } from "./step_run.ts";

/** How the current time relates to a step's deadlines. */
type DeadlineTier =
  /** Can still meet its objective, or is exempt from lateness. */
  | 0
  /** Late, but the result is still useful. */
  | 1
  /** The result is no longer useful; runs only in leftover capacity. */
  | 2;

/** A step with the keys that it is sorted by. */
type RankedStep = {
  run: StepRun;
  deadlineTier: DeadlineTier;
  isOverShare: boolean;
};

/**
 * Sorts steps by rank, the first to be scheduled first:
 *
 * 1. Steps that can still meet their objective come before late ones, so that a
 *    backlog does not make all work late. Steps of priority 0 are exempt while
 *    their results are useful, because they are short, and long-running steps
 *    always are.
 * 2. Steps whose agreement would exceed its share come after the others.
 * 3. The priority of the queue.
 * 4. The least slack.
 *
 * @param allocatedByAgreement the resources that the placed tasks of each
 *   agreement allocate
 *
 * @example
 * ```ts
 * const [first] = sortByRank(domain.waitingSteps, Date.now(), new Map());
 * ```
 */
export function sortByRank(
  runs: Iterable<StepRun>,
  wallMs: number,
  allocatedByAgreement: Map<string, Resources>,
): StepRun[] {
  return [...runs]
    .map((run): RankedStep => ({
      run,
      deadlineTier: deadlineTierOf(run, wallMs),
      isOverShare: isOverShare(run, allocatedByAgreement),
    }))
    .sort((left, right) =>
      left.deadlineTier - right.deadlineTier ||
      Number(left.isOverShare) - Number(right.isOverShare) ||
      left.run.jobRun.job.policy.priority -
        right.run.jobRun.job.policy.priority ||
      left.run.latestStartMs - right.run.latestStartMs
    )
    .map(({ run }) => run);
}

function deadlineTierOf(run: StepRun, wallMs: number): DeadlineTier {
  if (run.step.longRunning) return 0;
  if (wallMs > run.uselessAfterMs) return 2;
  const isUrgent = run.jobRun.job.policy.priority === 0;
  return wallMs > run.latestStartMs && !isUrgent ? 1 : 0;
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
