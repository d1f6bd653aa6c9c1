/**
 * The order in which waiting steps are served.
 *
 * @module
 */
import { addResources, fitsInto, type Resources } from "../model/mod.ts";
import { reservationOf } from "./placed.ts";
import type { StepRun } from "./step_run.ts";

/** How the time that is left bears on a step. */
type Standing =
  /** It can still meet its objective, or its class always comes first. */
  | 0
  /** It is late, but its result is still of use. */
  | 1
  /** Its result comes too late to be of use; it runs in room left over. */
  | 2;

/** A step with what decides its place. */
type Ranked = { run: StepRun; standing: Standing; isOverShare: boolean };

/**
 * Orders steps. What can still meet its objective comes before what is late,
 * so that a backlog does not make everything late; urgent work keeps its
 * place when it is late, since it is short. Work of an agreement that holds
 * more than its share comes after the rest. Then priority and least slack.
 *
 * @param held the room that the tasks of each agreement hold
 *
 * @example
 * ```ts
 * const [first] = inRankOrder(domain.waiting, Date.now(), new Map());
 * ```
 */
export function inRankOrder(
  runs: Iterable<StepRun>,
  wallMs: number,
  held: Map<string, Resources>,
): StepRun[] {
  return [...runs]
    .map((run): Ranked => ({
      run,
      standing: standingOf(run, wallMs),
      isOverShare: isOverShare(run, held),
    }))
    .sort((left, right) =>
      left.standing - right.standing ||
      Number(left.isOverShare) - Number(right.isOverShare) ||
      left.run.jobRun.job.policy.priority -
        right.run.jobRun.job.policy.priority ||
      left.run.latestStartMs - right.run.latestStartMs
    )
    .map(({ run }) => run);
}

function standingOf(run: StepRun, wallMs: number): Standing {
  if (run.step.longRunning) return 0;
  if (wallMs > run.uselessAfterMs) return 2;
  const isUrgent = run.jobRun.job.policy.priority === 0;
  return wallMs > run.latestStartMs && !isUrgent ? 1 : 0;
}

/** Whether one more task would take its agreement beyond its share. */
function isOverShare(run: StepRun, held: Map<string, Resources>): boolean {
  const { agreement, share } = run.jobRun.job.policy;
  if (agreement === undefined || share === undefined) return false;
  const demand = reservationOf(run.step);
  const room = held.get(agreement);
  const wanted = room === undefined ? demand : addResources(room, demand);
  return !fitsInto(wanted, share);
}
