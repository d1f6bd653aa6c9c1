/**
 * The order in which waiting steps are served.
 *
 * @module
 */
import type { StepRun } from "./step_run.ts";

/** How the time that is left bears on a step. */
type Standing =
  /** It can still meet its objective, or its class always comes first. */
  | 0
  /** It is late, but its result is still of use. */
  | 1
  /** Its result comes too late to be of use; it runs in room left over. */
  | 2;

/**
 * Orders steps. What can still meet its objective comes before what is late,
 * so that a backlog does not make everything late; urgent work keeps its
 * place when it is late, since it is short. Then priority and least slack.
 *
 * @example
 * ```ts
 * const [first] = inRankOrder(domain.waiting, Date.now());
 * ```
 */
export function inRankOrder(
  runs: Iterable<StepRun>,
  wallMs: number,
): StepRun[] {
  return [...runs]
    .map((run) => ({ run, standing: standingOf(run, wallMs) }))
    .sort((left, right) =>
      left.standing - right.standing ||
      left.run.job.job.policy.priority - right.run.job.job.policy.priority ||
      left.run.latestStartMs - right.run.latestStartMs
    )
    .map(({ run }) => run);
}

function standingOf(run: StepRun, wallMs: number): Standing {
  if (run.step.longRunning) return 0;
  if (wallMs > run.uselessAfterMs) return 2;
  const isUrgent = run.job.job.policy.priority === 0;
  return wallMs > run.latestStartMs && !isUrgent ? 1 : 0;
}
