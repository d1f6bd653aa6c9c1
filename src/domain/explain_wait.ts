import * as v from "valibot";
import { RESOURCE_NAMES, type Resources } from "../model/mod.ts";
import { isLimitedByAccount } from "./account_limits.ts";
import { hasValidTicket, mayBeAllowed } from "./advice_requests.ts";
import { findEligibleWorkers, hasCapacityForTask } from "./choose_worker.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import { findPossibleHolders, indexUnsettledWorkers } from "./start_permit.ts";
import type { StepRun } from "./step_run.ts";

/**
 * Schema of the report on why a step waits. Each worker count includes only
 * the workers that meet all earlier conditions.
 */
export const waitReportSchema = v.object({
  step: v.string(),
  queue: v.string(),
  waiting: v.number(),
  waitedMs: v.number(),
  /** Workers of the service in the platform's worker list. */
  listed: v.number(),
  /** Listed workers that may run the step, regardless of free capacity. */
  eligible: v.number(),
  /** Tasks of the step that the eligible workers could hold if empty. */
  places: v.number(),
  /** Number of tasks that have to start together; 0 for other steps. */
  gangSize: v.number(),
  /** Eligible workers that are reachable, as they answered the last poll. */
  held: v.number(),
  /** Reachable workers that the placement policy has not refused. */
  unrefused: v.number(),
  /** Unrefused workers with free capacity for a task. */
  withRoom: v.number(),
  /** Workers with free capacity and a ticket that is still valid. */
  ticketed: v.number(),
  /** 1 while an advice request of the step is in flight, otherwise 0. */
  asking: v.number(),
  /**
   * Workers that have to report, or whose leases have to expire, before tasks
   * of the step may be started: an earlier owner may have started some there.
   */
  unsettled: v.optional(v.number(), 0),
  /** 1 while the cap of the client account keeps the step waiting, else 0. */
  capped: v.optional(v.number(), 0),
  /** 1 if the job exceeded the rate of its client account; otherwise absent. */
  beyondRate: v.exactOptional(v.number()),
});

/** Why a step waits, as worker counts that narrow down by condition. */
export type WaitReport = v.InferOutput<typeof waitReportSchema>;

/**
 * Explains why the steps that have waited longest have not started.
 *
 * @param count the maximum number of steps to explain
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

/** Explains why tasks of one step have not started. */
export function explainWait(
  domain: Domain,
  run: StepRun,
  moment: Moment,
): WaitReport {
  const nowMs = moment.steadyMs;
  const eligible = findEligibleWorkers(domain, run);
  const reachable = eligible.filter((worker) => worker.isReachable);
  const unrefused = reachable.filter((worker) => mayBeAllowed(run, worker.id));
  const withCapacity = unrefused.filter((worker) =>
    hasCapacityForTask(worker, run, nowMs)
  );
  const ticketed = withCapacity.filter((worker) =>
    hasValidTicket(run, worker.id, nowMs)
  );
  const unsettled = indexUnsettledWorkers(domain);
  return {
    step: run.key,
    queue: run.jobRun.job.policy.queue,
    waiting: run.waitingCount,
    waitedMs: Math.round(nowMs - run.readyAtMs),
    listed: countListed(domain, run.jobRun.job.policy.service),
    eligible: eligible.length,
    places: eligible.reduce(
      (sum, { listing }) => sum + maxTasksOnWorker(listing?.capacity, run),
      0,
    ),
    gangSize: run.step.gang ? run.step.taskCount : 0,
    held: reachable.length,
    unrefused: unrefused.length,
    withRoom: withCapacity.length,
    ticketed: ticketed.length,
    asking: run.advice.requestInFlight ? 1 : 0,
    unsettled: [...findPossibleHolders(domain, run, unsettled)].length,
    capped: isLimitedByAccount(domain, run) ? 1 : 0,
    ...(run.jobRun.job.isBeyondRate === true ? { beyondRate: 1 } : {}),
  };
}

function countListed(domain: Domain, service: string): number {
  let count = 0;
  for (const { listing } of domain.workers.values()) {
    if (listing?.service === service) count += 1;
  }
  return count;
}

/** Maximum number of tasks of a step that fit on an empty worker. */
function maxTasksOnWorker(
  capacity: Resources | undefined,
  { step }: StepRun,
): number {
  if (capacity === undefined) return 0;
  const places = RESOURCE_NAMES
    .filter((name) => step.demand[name] > 0)
    .map((name) => Math.floor(capacity[name] / step.demand[name]));
  return Math.min(step.taskCount, step.maxPerWorker ?? Infinity, ...places);
}
