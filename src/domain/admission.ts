/**
 * Decides whether a new job is accepted, and whether it ranks after the work
 * within the rates of client accounts.
 *
 * @module
 */
import { hash32 } from "../base/mod.ts";
import {
  type AccountExcess,
  countSubmission,
  nextReturnMs,
} from "./account_rate.ts";
import type { Domain } from "./domain.ts";
import type { Moment } from "./domain_event.ts";
import type { JobRequest, QueuePolicy } from "./job.ts";
import { usefulStartWithinMs } from "./job_lifecycle.ts";
import { isShortFor } from "./scheduling_pass.ts";
import { allocationOf } from "./task_placement.ts";
import { estimateExcessWaitMs, recordAcceptedWork } from "./work_backlog.ts";

/** The shortest delay that a caller is asked for, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
/** The longest delay that a caller is asked for, in milliseconds. */
const MAX_RETRY_AFTER_MS = 15_000;
/** Delays are lengthened by up to this time, by the job's id. */
const RETRY_SPREAD_MS = 1_000;

/** Whether a new job is accepted. */
export type Admission =
  | { kind: "accepted"; isBeyondRate: boolean }
  /** It could not be served in useful time; nothing about it is kept. */
  | { kind: "refused"; retryAfterMs: number };

/**
 * Counts a new job at its client account and decides whether to accept it. Only
 * a job beyond the rate of its account is refused, and only while its service
 * has no capacity for it and the backlog that goes first, with the account's own
 * backlog, would outlast the time in which its result is useful.
 *
 * @param mayRefuse whether the caller understands a refusal
 *
 * @example
 * ```ts
 * const admission = admitJob(domain, { request, policy, mayRefuse }, moment);
 * ```
 */
export function admitJob(
  domain: Domain,
  { request, policy, mayRefuse = false }: {
    request: JobRequest;
    policy: QueuePolicy;
    mayRefuse?: boolean | undefined;
  },
  { steadyMs }: Moment,
): Admission {
  if (domain.clientAccounts.size === 0) {
    return { kind: "accepted", isBeyondRate: false };
  }
  const { clientAccount } = policy;
  const excess = countSubmission(domain, clientAccount, steadyMs);
  if (clientAccount === undefined || excess === undefined) {
    const accepted = { isBeyondRate: false, nowMs: steadyMs };
    recordAcceptedWork(domain, request, policy, accepted);
    return { kind: "accepted", isBeyondRate: false };
  }
  const lackMs = mayRefuse && lacksCapacity(domain, request, policy)
    ? estimateExcessWaitMs(domain, request, policy, steadyMs) -
      usefulStartWithinMs(domain, request, policy)
    : 0;
  const isRefused = lackMs > 0;
  const outcome = isRefused ? "refused" : "accepted";
  domain.commands.push({
    kind: "countExcess",
    account: clientAccount,
    outcome,
  });
  if (!isRefused) {
    excess.acceptedCount += 1;
    const accepted = { isBeyondRate: true, nowMs: steadyMs };
    recordAcceptedWork(domain, request, policy, accepted);
    return { kind: "accepted", isBeyondRate: true };
  }
  excess.refusedCount += 1;
  const weight = domain.clientAccounts.get(clientAccount)?.weight ?? 1;
  const retryAfterMs = retryDelayMs(excess, weight, steadyMs, lackMs);
  return { kind: "refused", retryAfterMs: retryAfterMs + spreadMs(request.id) };
}

/** Whether the last pass found no capacity for a first task of a job. */
function lacksCapacity(
  { shortages }: Domain,
  { steps, schedule }: JobRequest,
  { service }: QueuePolicy,
): boolean {
  // What is free when an occurrence is due is not known.
  if (schedule !== undefined) return false;
  return steps.some((step) => {
    const task = { demand: allocationOf(step), count: 1, mayBackfill: true };
    return step.after.length === 0 && isShortFor(shortages, service, task);
  });
}

/**
 * When the backlog will have shrunk enough for the job, but not before the
 * earlier refused submissions of its account have returned at its rate.
 */
function retryDelayMs(
  excess: AccountExcess,
  weight: number,
  nowMs: number,
  lackMs: number,
): number {
  const delayMs = Math.max(lackMs, nextReturnMs(excess, weight, nowMs));
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, delayMs)),
  );
}

function spreadMs(id: string): number {
  return Math.floor(RETRY_SPREAD_MS * hash32(id) / 2 ** 32);
}
