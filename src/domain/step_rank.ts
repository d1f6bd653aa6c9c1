/**
 * The order in which waiting steps are served.
 *
 * @module
 */
import { addResources, fitsInto, type Resources } from "../model/mod.ts";
import { allocationOf } from "./task_placement.ts";
import type { StepRun } from "./step_run.ts";

/** How the time that is left bears on a step. */
type DeadlineTier =
  /** It can still meet its objective, or its class always comes first. */
  | 0
  /** It is late, but its result is still of use. */
  | 1
  /** Its result comes too late to be of use; it runs in room left over. */
  | 2;

/** A step with what decides its place. */
type RankedStep = {
  run: StepRun;
  deadlineTier: DeadlineTier;
  isOverShare: boolean;
};

/**
 * Orders steps. What can still meet its objective comes before what is late,
 * so that a backlog does not make everything late; urgent work keeps its
 * place when it is late, since it is short. Work of an agreement that holds
 * more than its share comes after the rest. Then priority and least slack.
 *
 * @param allocatedByAgreement the room that the tasks of each agreement hold
 *
 * @example
 * ```ts
 * const [first] = inRankOrder(domain.waiting, Date.now(), new Map());
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
      left.run.job.job.policy.priority - right.run.job.job.policy.priority ||
      left.run.latestStartMs - right.run.latestStartMs
    )
    .map(({ run }) => run);
}

function deadlineTierOf(run: StepRun, wallMs: number): DeadlineTier {
  if (run.step.longRunning) return 0;
  if (wallMs > run.uselessAfterMs) return 2;
  const isUrgent = run.job.job.policy.priority === 0;
  return wallMs > run.latestStartMs && !isUrgent ? 1 : 0;
}

/** Whether one more task would take its agreement beyond its share. */
function isOverShare(
  run: StepRun,
  allocatedByAgreement: Map<string, Resources>,
): boolean {
  const { agreement, share } = run.job.job.policy;
  if (agreement === undefined || share === undefined) return false;
  const demand = allocationOf(run.step);
  const allocated = allocatedByAgreement.get(agreement);
  const allocatedWithTask = allocated === undefined
    ? demand
    : addResources(allocated, demand);
  return !fitsInto(allocatedWithTask, share);
}
