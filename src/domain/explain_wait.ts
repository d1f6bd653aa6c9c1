import { hasTicket, mayBeAllowed } from "./advising.ts";
import { eligibleWorkers, hasRoom } from "./choose_worker.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";

/** Why a step waits: how many workers pass each condition after the other. */
export type WaitReport = {
  step: string;
  queue: string;
  waiting: number;
  waitedMs: number;
  /** Workers of the service that may run the step at all. */
  eligible: number;
  /** Workers of those that answered the last look. */
  held: number;
  /** Workers of those that the policy has not refused. */
  unrefused: number;
  /** Workers of those with room for a task. */
  withRoom: number;
  /** Workers of those with a ticket that is still valid. */
  ticketed: number;
  /** Whether a question to the policy is on its way, as 1 or 0. */
  asking: number;
};

/**
 * Explains the steps that have waited longest.
 *
 * @param count how many steps are explained at most
 *
 * @example
 * ```ts
 * for (const report of explainWaits(domain, moment, 3)) log(report);
 * ```
 */
export function explainWaits(
  domain: Domain,
  moment: Moment,
  count: number,
): WaitReport[] {
  const nowMs = moment.steadyMs;
  return [...domain.waiting]
    .sort((left, right) => left.readyAtMs - right.readyAtMs)
    .slice(0, count)
    .map((run) => {
      const eligible = [...eligibleWorkers(domain, run)];
      const held = eligible.filter((worker) => worker.held);
      const unrefused = held.filter((worker) => mayBeAllowed(run, worker.id));
      const withRoom = unrefused.filter((worker) =>
        hasRoom(worker, run, nowMs)
      );
      const ticketed = withRoom.filter((worker) =>
        hasTicket(run, worker.id, nowMs)
      );
      return {
        step: run.key,
        queue: run.job.job.policy.queue,
        waiting: run.waiting,
        waitedMs: Math.round(nowMs - run.readyAtMs),
        eligible: eligible.length,
        held: held.length,
        unrefused: unrefused.length,
        withRoom: withRoom.length,
        ticketed: ticketed.length,
        asking: run.advice.asking ? 1 : 0,
      };
    });
}
