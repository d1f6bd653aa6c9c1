/**
 * The scheduling pass: places the tasks of waiting steps on workers, in the
 * order of their rank.
 *
 * @module
 */
import { accountsOverShare, updateAccountUse } from "./account_share.ts";
import {
  canRequestAdvice,
  hasAdvice,
  hasValidTicket,
  holdsValidTicket,
  mayBeAllowed,
  queueAdviceRequest,
  requestLeadTimeMs,
} from "./advice_requests.ts";
import {
  hasCapacityForTask,
  hasFreeCapacity,
  isEligible,
  scoreWorker,
  scoreWorkerForSuspect,
} from "./choose_worker.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { harmfulExcess } from "./interference/mod.ts";
import {
  lacksCapacityFor,
  placeGang,
  requestFirstAdvice,
} from "./place_gang.ts";
import {
  createSchedulingPass,
  type SchedulingPass,
} from "./scheduling_pass.ts";
import { allocationOf } from "./task_placement.ts";
import {
  indexUnsettledWorkers,
  mayRunUnrecorded,
  nextAttempt,
} from "./start_permit.ts";
import { updateDemandPressure } from "./demand_pressure.ts";
import { hasRoomForExcess, takeExcessRoom } from "./excess_room.ts";
import { sortByRank } from "./step_rank.ts";
import {
  isLargeStep,
  reserveForLargeStep,
  respectsReservation,
} from "./reservations.ts";
import { startTasks } from "./start_tasks.ts";
import { isExcess, isSuspect, type StepRun } from "./step_run.ts";

/**
 * Runs one scheduling pass: places the tasks that can start now, and collects
 * the steps that need advice of the placement policy in `domain.adviceQueue`.
 */
export function schedule(domain: Domain, moment: Moment): void {
  const pass = createSchedulingPass(domain, moment);
  const unsettled = indexUnsettledWorkers(domain);
  domain.adviceQueue = [];
  updateDemandPressure(domain);
  updateAccountUse(domain, moment.steadyMs);
  for (const run of rankWaitingSteps(domain, moment)) {
    if (mayRunUnrecorded(domain, run, unsettled)) continue;
    if (isHeldByAccount(pass, run)) continue;
    if (isExcess(run)) placeExcess(pass, run);
    else placeStep(pass, run);
  }
  domain.shortages = pass.shortages;
  domain.backlogs.clear();
}

/** Sorts the waiting steps in the order in which a pass handles them. */
export function rankWaitingSteps(domain: Domain, moment: Moment): StepRun[] {
  return sortByRank(domain.waitingSteps, {
    wallMs: moment.wallMs,
    allocatedByAgreement: domain.allocatedByAgreement,
    accountsOverShare: accountsOverShare(domain),
    shortServices: domain.shortages,
  });
}

function placeStep(pass: SchedulingPass, run: StepRun): void {
  if (run.step.gang) placeGang(pass, run);
  else placeTasks(pass, run);
}

/** Places a step beyond its account's rate in what others leave. */
function placeExcess(pass: SchedulingPass, run: StepRun): void {
  if (!hasRoomForExcess(pass, run)) {
    if (!run.step.gang) prepareStep(pass, run, isLargeStep(pass, run));
    const { service } = run.jobRun.job.policy;
    const demand = allocationOf(run.step);
    const task = { demand, count: 1, mayBackfill: true };
    if (!pass.hasNoCapacityFor(service, task)) {
      pass.recordNoCapacity(service, task);
    }
    return;
  }
  const waitingCount = run.waitingCount;
  placeStep(pass, run);
  // Tasks that are not started together take theirs one by one.
  if (!run.step.gang) return;
  takeExcessRoom(pass, run, waitingCount - run.waitingCount);
}

/**
 * Whether the limit of its account keeps a step waiting. Such a step reserves
 * nothing, and is prepared only if its turn comes soon. It is not recorded as
 * waiting for the limit if it would find no capacity anyway.
 */
function isHeldByAccount(pass: SchedulingPass, run: StepRun): boolean {
  const { accountLimits } = pass;
  const { gang, taskCount } = run.step;
  // A gang in part stops before it starts again.
  if (gang && run.waitingCount < taskCount) return false;
  if (accountLimits.admits(run, gang ? taskCount : 1)) return false;
  if (isExcess(run) && !hasRoomForExcess(pass, run)) return true;
  const hasCapacity = gang
    ? !lacksCapacityFor(pass, run)
    : placeableWorkers(pass, run).next().done !== true;
  if (!hasCapacity) return true;
  accountLimits.recordWait(run);
  if (!accountLimits.isNearLimit(run)) return true;
  if (gang) requestFirstAdvice(pass, run);
  else prepareStep(pass, run, false);
  return true;
}

function placeTasks(pass: SchedulingPass, run: StepRun): void {
  const { domain } = pass;
  const candidates = findCandidates(pass, run);
  const isLarge = isLargeStep(pass, run);
  if (candidates.length === 0) return prepareStep(pass, run, isLarge);
  const placements: string[] = [];
  for (let index = 0; index < run.tasks.length; index += 1) {
    const task = run.tasks[index];
    if (task?.kind !== "waiting") continue;
    if (!pass.accountLimits.admits(run, 1)) {
      reportPlacements(pass, run, placements);
      return pass.accountLimits.recordWait(run);
    }
    if (isExcess(run) && !hasRoomForExcess(pass, run)) break;
    const score = isSuspect(run, index) ? scoreWorkerForSuspect : scoreWorker;
    const worker = takeBestWorker(pass, candidates, run, score);
    if (worker === undefined) break;
    const attempt = nextAttempt(domain, run, task);
    const started = startTasks(pass, run, [{ index, worker, attempt }]);
    if (started === undefined) break;
    placements.push(...started);
    if (isExcess(run)) takeExcessRoom(pass, run, 1);
  }
  reportPlacements(pass, run, placements);
  if (run.waitingCount === 0) {
    domain.waitingSteps.delete(run);
    return;
  }
  const slots = isLarge ? reserveForLargeStep(pass, run) : [];
  queueAdviceRequest(pass, run, slots);
}

/** Finds the workers on which a task of a step can be placed now. */
function findCandidates(pass: SchedulingPass, run: StepRun): DomainWorker[] {
  const nowMs = pass.moment.steadyMs;
  if (!holdsValidTicket(run, nowMs)) return [];
  return [...placeableWorkers(pass, run)].filter((worker) =>
    hasValidTicket(run, worker.id, nowMs)
  );
}

/**
 * Lists the workers on which a task of a step could be placed now, whether or
 * not the step holds a ticket for them.
 */
function* placeableWorkers(
  pass: SchedulingPass,
  run: StepRun,
): Generator<DomainWorker> {
  const demand = allocationOf(run.step);
  const { service } = run.jobRun.job.policy;
  const task = { demand, count: 1, mayBackfill: true };
  if (pass.hasNoCapacityFor(service, task)) return;
  const nowMs = pass.moment.steadyMs;
  let isFull = true;
  for (const worker of pass.workersOf(service)) {
    if (!hasFreeCapacity(worker, demand, nowMs)) continue;
    isFull = false;
    const isPlaceable = isEligible(worker, run) &&
      mayBeAllowed(run, worker.id) &&
      hasCapacityForTask(worker, run, nowMs) &&
      respectsReservation(pass, worker, run);
    if (isPlaceable) yield worker;
  }
  if (isFull) pass.recordNoCapacity(service, task);
}

/** Requests advice for a step of which no task can be placed now. */
function prepareStep(
  pass: SchedulingPass,
  run: StepRun,
  isLarge: boolean,
): void {
  if (!isLarge && !canRequestAdvice(run, pass.moment.steadyMs)) return;
  const isPlaceable = placeableWorkers(pass, run).next().done !== true;
  if (!isPlaceable) {
    if (isLarge) prepareLargeStep(pass, run);
    return;
  }
  const slots = isLarge ? reserveForLargeStep(pass, run) : [];
  queueAdviceRequest(pass, run, slots);
}

/**
 * Prepares the start of a large step that finds no free capacity. Requests
 * advice early, because only allowed workers can be reserved, and again
 * shortly before the reserved capacity is free, for tickets that are still
 * valid then.
 */
function prepareLargeStep(pass: SchedulingPass, run: StepRun): void {
  const nowMs = pass.moment.steadyMs;
  const slots = reserveForLargeStep(pass, run);
  const requestDueByMs = nowMs + requestLeadTimeMs(run, slots.length);
  const dueSlots = slots.filter(({ worker, freeAtMs }) =>
    freeAtMs <= requestDueByMs && !hasValidTicket(run, worker.id, freeAtMs)
  );
  if (dueSlots.length > 0 || !hasAdvice(run)) {
    queueAdviceRequest(pass, run, dueSlots);
  }
}

/**
 * Returns the worker with the highest score; removes workers that cannot take
 * another task from the list.
 */
function takeBestWorker(
  pass: SchedulingPass,
  workers: DomainWorker[],
  run: StepRun,
  scoreFor: typeof scoreWorker,
): DomainWorker | undefined {
  const nowMs = pass.moment.steadyMs;
  const { domain } = pass;
  let best: DomainWorker | undefined;
  let bestScore = -Infinity;
  let bestWithoutPairs: DomainWorker | undefined;
  let bestScoreWithoutPairs = -Infinity;
  for (let index = workers.length - 1; index >= 0; index -= 1) {
    const worker = workers[index]!;
    if (
      !hasCapacityForTask(worker, run, nowMs) ||
      !respectsReservation(pass, worker, run)
    ) {
      workers.splice(index, 1);
      continue;
    }
    const score = scoreFor(domain, worker, run);
    const scoreWithoutPairs = score + harmfulExcess(domain, worker, run);
    if (scoreWithoutPairs > bestScoreWithoutPairs) {
      bestWithoutPairs = worker;
      bestScoreWithoutPairs = scoreWithoutPairs;
    }
    if (score <= bestScore) continue;
    best = worker;
    bestScore = score;
  }
  if (best !== bestWithoutPairs) {
    countPlacement(domain, "apart");
  } else if (best !== undefined && harmfulExcess(domain, best, run) > 0) {
    countPlacement(domain, "together");
  }
  return best;
}

/**
 * Counts a placement that a proven harmful pair has moved to another worker, or
 * that brings such a pair together because no other worker is better.
 */
function countPlacement(domain: Domain, outcome: "apart" | "together"): void {
  domain.commands.push({
    kind: "count",
    name: "harmful_pair_placements",
    labels: { outcome },
  });
}

/** Logs the placements that a pass has made for a step, in one line. */
export function reportPlacements(
  { domain, moment }: SchedulingPass,
  run: StepRun,
  placements: string[],
): void {
  if (placements.length === 0) return;
  domain.commands.push({
    kind: "report",
    message: "Placed tasks.",
    fields: {
      job: run.jobRun.job.id,
      step: run.key,
      placements: placements.join(" "),
      waitedMs: Math.round(moment.steadyMs - run.readyAtMs),
      slackMs: Math.round(run.latestStartMs - moment.wallMs),
    },
  });
}
