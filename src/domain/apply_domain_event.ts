import { assertNever } from "../base/mod.ts";
import { purgeAccountRates } from "./account_rate.ts";
import { admitJob } from "./admission.ts";
import { applyAdvice, discardAdvice } from "./advice_requests.ts";
import {
  addWorker,
  forgetDepartedWorkers,
  removeWorker,
} from "./departed_worker.ts";
import { observeWorkers } from "./crash_rates.ts";
import { purgeCancelledIds, recordCancelledId } from "./cancelled_ids.ts";
import type { Domain } from "./domain.ts";
import type { DomainCommand } from "./domain_command.ts";
import type { DomainEvent, Moment } from "./domain_event.ts";
import { endAttempt } from "./end_attempt.ts";
import {
  forgetUnseenPairs,
  observeWorkerLatencies,
} from "./interference/mod.ts";
import type { Job } from "./job.ts";
import { isHiddenFrom } from "./job_access.ts";
import {
  createJobRun,
  createReadySteps,
  endJob,
  expireUnstartedJobs,
  getOrCreateOccurrence,
  purgeEndedJobs,
  startDueOccurrences,
} from "./job_lifecycle.ts";
import { jobKey, ownerKey } from "./record_keys.ts";
import {
  applyWorkerLapse,
  applyWorkerReport,
  resendStops,
  stopUnconfirmedStarts,
} from "./reconcile_worker.ts";
import { adjustPace } from "./opportunistic_pacing.ts";
import { schedule } from "./schedule.ts";
import {
  grantPermit,
  revokePermit,
  revokeUnusedPermits,
} from "./start_permit.ts";
import { countCheckpointCharacters } from "./step_limits.ts";
import { findTask } from "./step_run.ts";
import { stopExcessStarts } from "./shrunk_capacity.ts";
import { stopStalledTasks } from "./stalled_tasks.ts";
import { stopTask } from "./stop_task.ts";
import { stopUnsuitableStarts } from "./unsuitable_starts.ts";
import { withdrawJob } from "./withdraw_job.ts";
import { accrueUsage, recordUsage } from "./usage.ts";
import { recordFailure, recordUnhealthy } from "./worker_health.ts";
import { currentListing, isOutdatedListing } from "./worker_incarnation.ts";
import type { WorkerListing } from "./worker_listing.ts";

type EventOf<Kind extends DomainEvent["kind"]> = Extract<
  DomainEvent,
  { kind: Kind }
>;

/**
 * Applies one event to the domain and returns the commands for the driver. The
 * keys of changed records are added to `domain.dirtyKeys`; orders and answers
 * may be sent only after the store has confirmed these records.
 *
 * @example
 * ```ts
 * const commands = applyDomainEvent(domain, { kind: "ticked" }, moment);
 * ```
 */
export function applyDomainEvent(
  domain: Domain,
  event: DomainEvent,
  moment: Moment,
): DomainCommand[] {
  accrueUsage(domain, moment);
  dispatchEvent(domain, event, moment);
  return domain.commands.splice(0);
}

/** Runs one scheduling pass and returns the commands for the driver. */
export function scheduleDomain(
  domain: Domain,
  moment: Moment,
): DomainCommand[] {
  accrueUsage(domain, moment);
  startDueOccurrences(domain, moment);
  schedule(domain, moment);
  return domain.commands.splice(0);
}

function dispatchEvent(
  domain: Domain,
  event: DomainEvent,
  moment: Moment,
): void {
  switch (event.kind) {
    case "storeObserved":
      domain.isStoreSilent = event.isSilent;
      return;
    case "submitted":
      return submit(domain, event, moment);
    case "cancelled":
      return cancel(domain, event, moment);
    case "withdrawn":
      return withdrawJob(domain, event.job);
    case "workersListed":
      return applyWorkerList(domain, event.workers, moment);
    case "looked":
      return handleWorkerReport(domain, event, moment);
    case "workerSilent": {
      const worker = domain.workers.get(event.worker);
      if (worker !== undefined) worker.isReachable = false;
      return revokePermit(domain, event.worker);
    }
    case "linkReopened": {
      const worker = domain.workers.get(event.worker);
      if (worker === undefined) return;
      worker.isReachable = false;
      worker.linkReopenedAtMs = moment.steadyMs;
      return;
    }
    case "workerLapsed": {
      const worker = domain.workers.get(event.worker);
      if (worker === undefined) return;
      worker.isReachable = false;
      applyWorkerLapse(domain, worker, event, moment);
      return revokePermit(domain, worker.id);
    }
    case "startAnswered":
      return applyStartAnswer(domain, event, moment);
    case "stopConfirmed":
      return applyStopConfirmation(domain, event, moment);
    case "advised":
      return applyAdvice(domain, event, moment);
    case "configurationObserved":
      domain.isConfigurationStale = event.isStale;
      return;
    case "accountsConfigured":
      domain.clientAccounts = new Map(
        event.accounts.map((account) => [account.name, account]),
      );
      return;
    case "accountLimitsSet":
      domain.accountLimits = new Map(event.limits);
      return;
    case "ownerEnded": {
      const { instance, epoch } = event.owner;
      domain.owners = domain.owners.filter((owner) =>
        owner.instance !== instance || owner.epoch !== epoch
      );
      domain.dirtyKeys.add(ownerKey(epoch));
      return;
    }
    case "ticked":
      recordUsage(domain, moment);
      countCheckpointCharacters(domain);
      observeWorkers(domain, moment);
      forgetUnseenPairs(domain.interference, moment.steadyMs);
      revokeUnusedPermits(domain);
      expireUnstartedJobs(domain, moment);
      purgeAccountRates(domain, moment.steadyMs);
      purgeCancelledIds(domain, moment);
      return purgeEndedJobs(domain, moment);
    default:
      return assertNever(event);
  }
}

function submit(
  domain: Domain,
  event: EventOf<"submitted">,
  moment: Moment,
): void {
  const { request, policy, call } = event;
  if (isHiddenFrom(domain, request.id, policy)) {
    domain.commands.push({
      kind: "answer",
      call,
      answer: { kind: "conflict" },
    });
    return;
  }
  if (!domain.jobs.has(request.id)) {
    const isCancelled = domain.cancelledIds.has(request.id);
    const admission = isCancelled
      ? { kind: "accepted", isBeyondRate: false } as const
      : admitJob(domain, event, moment);
    if (admission.kind === "refused") {
      return refuse(domain, call, admission.retryAfterMs);
    }
    const job: Job = {
      ...request,
      policy,
      ...(admission.isBeyondRate ? { isBeyondRate: true } : {}),
      acceptedAtMs: moment.wallMs,
      outcome: "open",
    };
    const run = createJobRun(job);
    run.hasEarlierRecords = domain.dirtyKeys.has(jobKey(job.id));
    domain.jobs.set(job.id, run);
    domain.dirtyKeys.add(jobKey(job.id));
    domain.commands.push({
      kind: "report",
      message: "Accepted a job.",
      fields: {
        job: job.id,
        queue: policy.queue,
        service: policy.service,
        priority: policy.priority,
        steps: job.steps.length,
        tasks: job.steps.reduce((sum, step) => sum + step.taskCount, 0),
        gangs: job.steps.filter((step) => step.gang).length,
        opportunistic: job.steps.filter((step) => step.opportunistic).length,
        ...(admission.isBeyondRate ? { isBeyondRate: 1 } : {}),
      },
    });
    if (job.schedule === undefined) {
      run.nextOccurrence = 1;
      const occurrence = getOrCreateOccurrence(run, 0);
      createReadySteps(domain, run, occurrence, job.steps.keys(), moment);
    } else {
      domain.scheduledJobs.add(run);
    }
    if (isCancelled) {
      endJob(domain, run, "cancelled", moment);
    }
  }
  domain.commands.push({
    kind: "answer",
    call,
    answer: { kind: "accepted" },
  });
}

/**
 * Refuses a job. The refusal tells that the job does not run, which is certain
 * only while no successor can have accepted it.
 */
function refuse(domain: Domain, call: number, retryAfterMs: number): void {
  verifyOwnershipOnCommit(domain);
  const answer = { kind: "overloaded", retryAfterMs } as const;
  domain.commands.push({ kind: "answer", call, answer });
}

function cancel(
  domain: Domain,
  event: EventOf<"cancelled">,
  moment: Moment,
): void {
  const run = domain.jobs.get(event.job);
  if (run !== undefined) endJob(domain, run, "cancelled", moment);
  else recordCancelledId(domain, event.job, moment);
  domain.commands.push({
    kind: "answer",
    call: event.call,
    answer: { kind: run === undefined ? "unknownJob" : "accepted" },
  });
}

/**
 * Makes the next commit write a record, which fails if the owner has a
 * successor. An answer that waits for this commit is therefore not outdated.
 */
export function verifyOwnershipOnCommit(domain: Domain): void {
  const epoch = Math.max(...domain.owners.map((owner) => owner.epoch));
  domain.dirtyKeys.add(ownerKey(epoch));
}

/**
 * Applies a new list of workers. A worker that is missing from it stays known
 * while tasks are placed on it, but gets no new ones. A worker whose entry is of
 * another incarnation than its last report gets none before the other follows.
 */
function applyWorkerList(
  domain: Domain,
  listings: WorkerListing[],
  moment: Moment,
): void {
  const listed = new Set(listings.map(({ id }) => id));
  for (const [id, worker] of domain.workers) {
    if (listed.has(id)) continue;
    worker.listing = undefined;
    revokePermit(domain, id);
    const isSettled = !domain.unsettledWorkers.has(id);
    if (worker.placed.size > 0 || !isSettled) continue;
    removeWorker(domain, worker);
    discardAdvice(domain, id);
  }
  forgetDepartedWorkers(domain);
  for (const listing of listings) {
    const known = domain.workers.get(listing.id);
    const worker = known ?? addWorker(domain, listing, moment);
    if (isOutdatedListing(worker, listing)) continue;
    worker.listing = listing;
    worker.lastListing = listing;
    worker.capacity = listing.capacity;
    if (currentListing(worker) === undefined) {
      stopUnsuitableStarts(domain, worker, listing);
    }
    stopExcessStarts(domain, worker);
    if (listing.draining) revokePermit(domain, listing.id);
  }
}

function handleWorkerReport(
  domain: Domain,
  event: EventOf<"looked">,
  moment: Moment,
): void {
  const worker = domain.workers.get(event.worker);
  if (worker === undefined) return;
  const wasReachable = worker.isReachable;
  const previousLastEnd = worker.lastEnd;
  const previousBornMs = worker.bornMs;
  applyWorkerReport(domain, worker, event.look, moment);
  stopUnconfirmedStarts(domain, worker);
  if (!wasReachable) resendStops(domain, worker);
  grantPermit(domain, worker);
  observeWorkerLatencies(domain, worker, moment.steadyMs);
  adjustPace(domain, worker);
  // Tasks may have ended that are not listed yet.
  if (event.look.hasMoreEnds !== true) stopStalledTasks(domain, worker, moment);
  if (worker.lastEnd === previousLastEnd && worker.bornMs === previousBornMs) {
    return;
  }
  domain.commands.push({
    kind: "acknowledge",
    worker: worker.id,
    bornMs: worker.bornMs,
    lastEnd: worker.lastEnd,
  });
}

function applyStartAnswer(
  domain: Domain,
  event: EventOf<"startAnswered">,
  moment: Moment,
): void {
  const found = findTask(domain, event.task);
  if (found === undefined) return;
  const { run, index } = found;
  const task = run.tasks[index];
  if (task?.kind !== "placed" || task.worker !== event.worker) return;
  if (task.attempt !== event.attempt) return;
  const { answer } = event;
  const worker = domain.workers.get(event.worker);
  switch (answer.kind) {
    case "accepted": {
      run.jobRun.hasBegun = true;
      run.unansweredAtMs.delete(event.worker);
      const ref = worker?.placed.get(event.task);
      if (ref !== undefined) ref.runningSinceMs ??= moment.steadyMs;
      if (task.phase.kind !== "starting") return;
      task.phase = {
        kind: "running",
        percent: 0,
        progressAtMs: moment.steadyMs,
      };
      return;
    }
    case "superseded":
      // The worker lists the end of this attempt; its next report resolves it.
      task.phase = { kind: "stopping", confirmedAtMs: moment.steadyMs };
      return;
    case "rejected":
      if (answer.cause === "unhealthy" && worker !== undefined) {
        recordUnhealthy(worker, moment.steadyMs);
      }
      if (answer.cause === "unanswered" && worker !== undefined) {
        recordFailure(worker, moment.steadyMs);
        run.unansweredAtMs.set(worker.id, moment.steadyMs);
      }
      if (answer.cause === "ticket") run.advice.allowed.delete(event.worker);
      // An earlier copy of the order may still arrive; the stop prevents it
      // from starting the attempt.
      if (answer.earlierUnknown) return stopTask(domain, run, index);
      return endAttempt(domain, run, index, "unstarted", moment);
    default:
      return assertNever(answer);
  }
}

function applyStopConfirmation(
  domain: Domain,
  event: EventOf<"stopConfirmed">,
  moment: Moment,
): void {
  const ref = domain.workers.get(event.worker)?.placed.get(event.task);
  if (ref?.abandonedStart?.attempt === event.attempt) {
    ref.abandonedStart.stoppedAtMs ??= moment.steadyMs;
  }
  const found = findTask(domain, event.task);
  const task = found?.run.tasks[found.index];
  if (task?.kind !== "placed" || task.worker !== event.worker) return;
  if (task.attempt !== event.attempt || task.phase.kind !== "stopping") return;
  task.phase = { kind: "stopping", confirmedAtMs: moment.steadyMs };
}
