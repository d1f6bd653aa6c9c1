import * as v from "valibot";
import { RESOURCE_NAMES, type Resources } from "../model/mod.ts";
import { hasTicket, mayBeAllowed } from "./advising.ts";
import { eligibleWorkers, hasRoom } from "./choose_worker.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { StepRun } from "./step_run.ts";

/** Schema of why a step waits: how many workers pass each condition. */
export const waitReportSchema = v.object({
  step: v.string(),
  queue: v.string(),
  waiting: v.number(),
  waitedMs: v.number(),
  /** Workers of the service that are listed. */
  listed: v.number(),
  /** Workers of those that may run the step at all. */
  eligible: v.number(),
  /** How many of its tasks those could hold at once if nothing else ran. */
  places: v.number(),
  /** How many tasks have to start together; 0 where they need not. */
  gangSize: v.number(),
  /** Workers of those that answered the last look. */
  held: v.number(),
  /** Workers of those that the policy has not refused. */
  unrefused: v.number(),
  /** Workers of those with room for a task. */
  withRoom: v.number(),
  /** Workers of those with a ticket that is still valid. */
  ticketed: v.number(),
  /** Whether a question to the policy is on its way, as 1 or 0. */
  asking: v.number(),
});

/** Why a step waits: how many workers pass each condition after the other. */
export type WaitReport = v.InferOutput<typeof waitReportSchema>;

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
  return [...domain.waitingSteps]
    .sort((left, right) => left.readyAtMs - right.readyAtMs)
    .slice(0, count)
    .map((run) => explainWait(domain, run, moment));
}

/** Explains why tasks of one step wait. */
export function explainWait(
  domain: Domain,
  run: StepRun,
  moment: Moment,
): WaitReport {
  const nowMs = moment.steadyMs;
  const eligible = eligibleWorkers(domain, run);
  const held = eligible.filter((worker) => worker.isReachable);
  const unrefused = held.filter((worker) => mayBeAllowed(run, worker.id));
  const withRoom = unrefused.filter((worker) => hasRoom(worker, run, nowMs));
  const ticketed = withRoom.filter((worker) =>
    hasTicket(run, worker.id, nowMs)
  );
  return {
    step: run.key,
    queue: run.jobRun.job.policy.queue,
    waiting: run.waitingCount,
    waitedMs: Math.round(nowMs - run.readyAtMs),
    listed: countListed(domain, run.jobRun.job.policy.service),
    eligible: eligible.length,
    places: eligible.reduce(
      (sum, { listing }) => sum + placesOn(listing?.capacity, run),
      0,
    ),
    gangSize: run.step.gang ? run.step.taskCount : 0,
    held: held.length,
    unrefused: unrefused.length,
    withRoom: withRoom.length,
    ticketed: ticketed.length,
    asking: run.advice.asking ? 1 : 0,
  };
}

function countListed(domain: Domain, service: string): number {
  let count = 0;
  for (const { listing } of domain.workers.values()) {
    if (listing?.service === service) count += 1;
  }
  return count;
}

/** How many tasks of a step an empty worker holds. */
function placesOn(capacity: Resources | undefined, { step }: StepRun): number {
  if (capacity === undefined) return 0;
  const places = RESOURCE_NAMES
    .filter((name) => step.demand[name] > 0)
    .map((name) => Math.floor(capacity[name] / step.demand[name]));
  return Math.min(step.taskCount, step.maxPerWorker ?? Infinity, ...places);
}
