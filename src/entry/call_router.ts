/**
 * Routes client calls to the owner of their domain, in this process or in
 * another instance, and reports whether each call took effect.
 *
 * @module
 */
import { assertNever, NO_LONGER_NEEDED, untilAborted } from "../base/mod.ts";
import {
  isStorablePolicy,
  type JobDescription,
  type JobPreview,
  type JobRequest,
  type JobState,
  type QueuePolicy,
} from "../domain/mod.ts";
import type { QueueAddress } from "../ownership/mod.ts";
import type { Counters } from "../telemetry/mod.ts";
import {
  type DomainCallHost,
  executeDomainCall,
} from "./execute_domain_call.ts";
import { queueDomains, recordedPartitions } from "./earlier_domains.ts";
import { epochsOf, findJob } from "./job_search.ts";
import { retryAfterOutageMs } from "./outage_retry.ts";
import type { DomainAnswer, DomainCall } from "./peer_call.ts";
import type { QueueDirectory } from "./queue_directory.ts";
import type { Reachability } from "./reachability.ts";
import { partitionOf } from "./partition_of.ts";
import { untilTimeout } from "./until_timeout.ts";

/** How long a call may search for the owner of its domain, in milliseconds. */
const OWNER_LOOKUP_TIMEOUT_MS = 1_500;
/** Timeout of one attempt, since an owner may be frozen, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 1_200;
/** Expected duration of a takeover, in milliseconds. */
const EXPECTED_TAKEOVER_MS = 1_000;
/** Pause between two lookups of the owner, in milliseconds. */
const OWNER_LOOKUP_INTERVAL_MS = 100;
/** Time reserved for a lookup while the store is slow, in milliseconds. */
const SLOW_OWNER_LOOKUP_MS = 400;
/** The largest share of a call's timeout that is reserved for that. */
const LOOKUP_SHARE = 0.2;
const SEARCH_UNANSWERED = "an owner that may have the job does not answer";
const HOLDER_UNSETTLED = "the job moves between domains";
const NAMES_TOO_LONG = "the names of the queue are too long to be stored";
const QUEUES_UNKNOWN = "the store does not tell which domains have jobs";

/** Dependencies of a call router. */
export type CallRouterHost = DomainCallHost & {
  /** Ends the wait of all calls, whose outcome is then undecided. */
  signal: AbortSignal;
  counters: Counters;
  /** Calls another instance. */
  callPeer(
    instance: string,
    call: DomainCall,
    timeoutMs: number,
  ): Promise<PeerCallOutcome>;
  reachability: Reachability;
  /** Tells which domains may have jobs of a queue. */
  queues: Pick<QueueDirectory, "read" | "known">;
  /** Whether the configuration has a queue of a name. */
  isAssigned(queue: string): boolean;
  /** The partitions of the domains to which queues are assigned. */
  partitionsInUse(): Set<number>;
};

/** The queue that a call addresses, and the service that it is assigned to. */
export type QueueTarget = QueueAddress & {
  service: string;
  /** The caller's client account, if it is known. */
  clientAccount?: string | undefined;
};

/** How a call to another instance ended. */
export type PeerCallOutcome =
  | { kind: "answered"; answer: DomainAnswer }
  /** The call is certain not to have reached the instance. */
  | { kind: "unsent"; cause: string }
  | { kind: "unknown"; cause: string };

/** How a client call ended. */
export type CallOutcome<Value> =
  | { kind: "done"; value: Value }
  | { kind: "unknownJob" }
  /** Another client account has a job with the id; the call had no effect. */
  | { kind: "conflict" }
  /** The call is certain to have had no effect; the client may retry. */
  | { kind: "unavailable"; cause: string; retryAfterMs: number }
  /** The call may have taken effect. */
  | { kind: "undecided"; cause: string };

/** Routes client calls to domain owners; timeouts are in milliseconds. */
export type CallRouter = {
  submit(
    request: JobRequest,
    policy: QueuePolicy,
    timeoutMs: number,
    address?: string,
  ): Promise<CallOutcome<undefined>>;
  cancel(
    job: string,
    target: QueueTarget,
    timeoutMs: number,
  ): Promise<CallOutcome<undefined>>;
  stateOf(
    job: string,
    target: QueueTarget,
    timeoutMs: number,
  ): Promise<CallOutcome<JobState>>;
  /** Returns a job with its tasks, from whichever domain accepted it. */
  describe(
    job: string,
    services: string[],
    timeoutMs: number,
  ): Promise<CallOutcome<JobDescription>>;
  /** Asks what the owner would do with a job now; nothing is submitted. */
  preview(
    request: JobRequest,
    policy: QueuePolicy,
    timeoutMs: number,
  ): Promise<CallOutcome<JobPreview>>;
  /** Counts the jobs of a queue of which no task has started. */
  pendingJobs(
    target: QueueTarget,
    timeoutMs: number,
  ): Promise<CallOutcome<number>>;
};

/**
 * Creates the call router of an instance.
 *
 * @example
 * ```ts
 * const router = createCallRouter(host);
 * const outcome = await router.submit(request, policy, 3_000);
 * ```
 */
export function createCallRouter(host: CallRouterHost): CallRouter {
  const partitionOfService = (service: string) =>
    partitionOf(service, host.partitionCount);
  return {
    async submit(request, policy, timeoutMs, address) {
      if (!isStorablePolicy(policy)) return unavailableForNow(NAMES_TOO_LONG);
      const partition = partitionOfService(policy.service);
      const kind = "submit";
      const call = {
        kind,
        partition,
        request,
        policy,
        address,
        ...(policy.clientAccount === undefined ? {} : { mayRefuse: true }),
      } as const;
      const { id } = request;
      return expectAccepted(await forwardToHolder(host, call, id, timeoutMs));
    },
    async cancel(job, { service, ...target }, timeoutMs) {
      const partition = partitionOfService(service);
      const { queue, address, clientAccount } = target;
      const call = {
        kind: "cancel",
        partition,
        job,
        queue,
        address,
        clientAccount,
      } as const;
      const outcome = await forwardToJobDomain(host, call, job, timeoutMs);
      return expectAccepted(outcome);
    },
    async stateOf(job, { service, ...target }, timeoutMs) {
      const partition = partitionOfService(service);
      const { queue, address, clientAccount } = target;
      const call = {
        kind: "state",
        partition,
        job,
        queue,
        address,
        clientAccount,
      } as const;
      const outcome = await forwardToJobDomain(host, call, job, timeoutMs);
      if (outcome.kind !== "done") return readOnlyOutcome(outcome);
      const { value } = outcome;
      if (value.kind === "unknownJob") return { kind: "unknownJob" };
      if (value.kind !== "state") return unexpectedAnswer(value);
      return { kind: "done", value: value.state };
    },
    async describe(job, services, timeoutMs) {
      const records = await host.queues.read(lookupTimeoutMs(timeoutMs));
      let lastOutcome: CallOutcome<JobDescription> = records === undefined
        ? unavailableForNow(QUEUES_UNKNOWN)
        : { kind: "unknownJob" };
      const partitions = new Set([
        ...services.map(partitionOfService),
        ...recordedPartitions(records ?? []),
      ]);
      for (const partition of partitions) {
        const call = { kind: "describe", partition, job } as const;
        const outcome = await forwardToOwner(host, call, job, timeoutMs);
        if (outcome.kind !== "done") {
          lastOutcome = readOnlyOutcome(outcome);
          continue;
        }
        const { value } = outcome;
        if (value.kind === "description") {
          return { kind: "done", value: value.job };
        }
        if (value.kind !== "unknownJob") lastOutcome = unexpectedAnswer(value);
      }
      return lastOutcome;
    },
    async preview(request, policy, timeoutMs) {
      const partition = partitionOfService(policy.service);
      const call = { kind: "preview", partition, request, policy } as const;
      const { queue } = policy;
      const outcome = await forwardToOwner(host, call, queue, timeoutMs);
      if (outcome.kind !== "done") return readOnlyOutcome(outcome);
      const { value } = outcome;
      if (value.kind !== "preview") return unexpectedAnswer(value);
      return { kind: "done", value: value.preview };
    },
    async pendingJobs(target, timeoutMs) {
      const deadlineAtMs = host.clock.steadyMs() + timeoutMs;
      const { queue, service, address } = target;
      const partition = partitionOfService(service);
      const own = await countPendingJobs(host, {
        kind: "pending",
        partition,
        queue,
        address,
        namesSharers: true,
      }, timeoutMs);
      if (own.kind !== "done") return own;
      const { jobs, sharers = [] } = own.value;
      const records = [...host.queues.known(), ...sharers];
      const domains = queueDomains(
        records,
        target,
        partition,
        host.isAssigned,
      );
      const remainingMs = deadlineAtMs - host.clock.steadyMs();
      const counts = await Promise.all(
        domains.map((domain) =>
          countPendingJobs(host, { kind: "pending", ...domain }, remainingMs)
        ),
      );
      let total = jobs;
      for (const count of counts) {
        if (count.kind !== "done") return count;
        total += count.value.jobs;
      }
      return { kind: "done", value: total };
    },
  };
}

type PendingAnswer = Extract<DomainAnswer, { kind: "pending" }>;

/** Counts the waiting jobs of a queue in one domain. */
async function countPendingJobs(
  host: CallRouterHost,
  call: Extract<DomainCall, { kind: "pending" }>,
  timeoutMs: number,
): Promise<CallOutcome<PendingAnswer>> {
  const outcome = await forwardToOwner(host, call, call.queue, timeoutMs);
  if (outcome.kind !== "done") return readOnlyOutcome(outcome);
  const { value } = outcome;
  if (value.kind !== "pending") return unexpectedAnswer(value);
  return { kind: "done", value };
}

/** Converts the answer to a change into an outcome without a value. */
function expectAccepted(
  outcome: CallOutcome<DomainAnswer>,
): CallOutcome<undefined> {
  if (outcome.kind !== "done") return outcome;
  if (outcome.value.kind === "unknownJob") return { kind: "unknownJob" };
  if (outcome.value.kind === "conflict") return { kind: "conflict" };
  if (outcome.value.kind !== "accepted") return unexpectedAnswer(outcome.value);
  return { kind: "done", value: undefined };
}

/** Makes an undecided read retryable, since a read has no effect to repeat. */
function readOnlyOutcome<Value>(
  outcome: Exclude<CallOutcome<Value>, { kind: "done" }>,
): CallOutcome<never> {
  if (outcome.kind !== "undecided") return outcome;
  return unavailableForNow(outcome.cause);
}

/** The outcome of a call without effect that may succeed after a takeover. */
function unavailableForNow(cause: string): CallOutcome<never> {
  return { kind: "unavailable", cause, retryAfterMs: EXPECTED_TAKEOVER_MS };
}

/** How long a call may search for an owner, in milliseconds. */
function lookupTimeoutMs(timeoutMs: number): number {
  return Math.min(OWNER_LOOKUP_TIMEOUT_MS, timeoutMs / 2);
}

function unexpectedAnswer(answer: DomainAnswer): CallOutcome<never> {
  return { kind: "undecided", cause: `the owner answered "${answer.kind}"` };
}

/**
 * Forwards a call to the owner of its domain, and to the owner of another one
 * that has the job, according to the first.
 */
async function forwardToHolder(
  host: CallRouterHost,
  call: DomainCall,
  subject: string,
  timeoutMs: number,
): Promise<CallOutcome<DomainAnswer>> {
  const { clock, signal } = host;
  const deadlineAtMs = clock.steadyMs() + timeoutMs;
  let { partition } = call;
  let hops = 0;
  while (true) {
    const remainingMs = deadlineAtMs - clock.steadyMs();
    const moved = { ...call, partition };
    const outcome = await forwardToOwner(host, moved, subject, remainingMs);
    if (outcome.kind === "unavailable" && hops > 0) {
      // The other domain had the job, so it may run.
      return { kind: "undecided", cause: outcome.cause };
    }
    if (outcome.kind !== "done" || outcome.value.kind !== "elsewhere") {
      return outcome;
    }
    partition = outcome.value.partition;
    hops += 1;
    // The job may have been withdrawn from the other domain meanwhile.
    if (hops > 1) await clock.sleep(OWNER_LOOKUP_INTERVAL_MS, signal);
    if (signal.aborted || clock.steadyMs() >= deadlineAtMs) {
      return { kind: "undecided", cause: HOLDER_UNSETTLED };
    }
  }
}

/**
 * Forwards a call to the domain that has the job. This differs from the domain
 * of the queue if the queue was assigned to another service after submission.
 */
async function forwardToJobDomain(
  host: CallRouterHost,
  call: Extract<DomainCall, { job: string }>,
  job: string,
  timeoutMs: number,
): Promise<CallOutcome<DomainAnswer>> {
  const startedAtMs = host.clock.steadyMs();
  const deadlineAtMs = startedAtMs + timeoutMs;
  const outcome = await forwardToHolder(host, call, job, timeoutMs);
  if (outcome.kind !== "done" || outcome.value.kind !== "unknownJob") {
    return outcome;
  }
  const { sharers = [] } = outcome.value;
  const others = new Set([
    ...host.partitionsInUse(),
    ...recordedPartitions([...host.queues.known(), ...sharers]),
  ]);
  others.delete(call.partition);
  const untilMs = startedAtMs + lookupTimeoutMs(timeoutMs);
  const options = { epochs: epochsOf(sharers) };
  const search = await findJob(host, job, [...others], untilMs, options);
  switch (search.kind) {
    case "found": {
      const { partition } = search;
      const remainingMs = deadlineAtMs - host.clock.steadyMs();
      const moved = { ...call, partition };
      return await forwardToOwner(host, moved, job, remainingMs);
    }
    case "cancelled":
    case "claimed":
    case "notFound":
      return outcome;
    case "unanswered":
      return unavailableForNow(SEARCH_UNANSWERED);
    default:
      return assertNever(search);
  }
}

/** Forwards a call to the owner of its domain, and records the outcome. */
async function forwardToOwner(
  host: CallRouterHost,
  call: DomainCall,
  subject: string,
  timeoutMs: number,
): Promise<CallOutcome<DomainAnswer>> {
  const startedAtMs = host.clock.steadyMs();
  const finished = await untilAborted(
    callOwnerWithRetries(host, call, startedAtMs, timeoutMs),
    host.signal,
  );
  const outcome: CallOutcome<DomainAnswer> = finished ??
    { kind: "undecided", cause: "the instance is stopping" };
  const elapsedMs = host.clock.steadyMs() - startedAtMs;
  host.counters.count("calls", { kind: call.kind, outcome: outcome.kind });
  host.counters.observe("call_ms", elapsedMs);
  const isReadOnly = call.kind === "state" || call.kind === "describe" ||
    call.kind === "pending" || call.kind === "preview";
  if (!isReadOnly || outcome.kind !== "done") {
    host.logger.info("Answered a call.", {
      call: call.kind,
      subject,
      partition: call.partition,
      outcome: outcome.kind,
      cause: "cause" in outcome ? outcome.cause : "",
      elapsedMs: Math.round(elapsedMs),
    });
  }
  return outcome;
}

/**
 * Calls the owner of the domain and, if that fails, its successors. A call may
 * be delivered more than once: client-chosen job ids make it idempotent.
 */
async function callOwnerWithRetries(
  host: CallRouterHost,
  call: DomainCall,
  startedAtMs: number,
  timeoutMs: number,
): Promise<CallOutcome<DomainAnswer>> {
  const { clock, directory } = host;
  const deadlineAtMs = startedAtMs + timeoutMs;
  const lookupUntilMs = startedAtMs + lookupTimeoutMs(timeoutMs);
  const retryUntilMs = deadlineAtMs -
    Math.min(SLOW_OWNER_LOOKUP_MS, timeoutMs * LOOKUP_SHARE);
  let undecidedCause: string | undefined;
  let cause = "the domain has no owner";
  while (!host.signal.aborted) {
    const owner = await directory.ownerOf(call.partition);
    const remainingMs = deadlineAtMs - clock.steadyMs();
    if (owner !== undefined && remainingMs > 0) {
      const attemptTimeoutMs = Math.min(remainingMs, ATTEMPT_TIMEOUT_MS);
      const outcome = await callUntilSuperseded(
        host,
        owner,
        call,
        attemptTimeoutMs,
      );
      host.reachability.recordCall(outcome.kind === "answered");
      const attempt = classifyAttempt(call, outcome);
      switch (attempt.kind) {
        case "answered":
          return { kind: "done", value: attempt.answer };
        case "refused":
          if (undecidedCause !== undefined) break;
          // Another instance may still reach the store and own the domain.
          if (attempt.isStoreDown) directory.refresh();
          return {
            kind: "unavailable",
            cause: attempt.cause,
            retryAfterMs: attempt.retryAfterMs,
          };
        case "notExecuted":
          cause = attempt.cause;
          directory.forgetOwner(call.partition, owner);
          break;
        case "unknown":
          undecidedCause = attempt.cause;
          break;
        default:
          assertNever(attempt);
      }
    }
    // A successor that has announced itself is called without a lookup.
    if (remainingMs > 0 && hasSuccessor(host, call.partition, owner)) continue;
    const untilMs = undecidedCause === undefined ? lookupUntilMs : retryUntilMs;
    if (clock.steadyMs() + OWNER_LOOKUP_INTERVAL_MS > untilMs) break;
    await clock.sleep(OWNER_LOOKUP_INTERVAL_MS, host.signal);
    await directory.refresh();
  }
  if (undecidedCause !== undefined) {
    return { kind: "undecided", cause: undecidedCause };
  }
  return unavailableForNow(cause);
}

/** Whether the directory now has a different owner than the one called. */
function hasSuccessor(
  { directory }: CallRouterHost,
  partition: number,
  calledOwner: string | undefined,
): boolean {
  const currentOwner = directory.knownOwners()[partition];
  return calledOwner !== undefined && currentOwner !== undefined &&
    currentOwner !== calledOwner;
}

type AttemptResult =
  | { kind: "answered"; answer: DomainAnswer }
  /** The call had no effect, and no other instance could execute it. */
  | {
    kind: "refused";
    cause: string;
    retryAfterMs: number;
    isStoreDown: boolean;
  }
  /** The call had no effect; another instance may execute it. */
  | { kind: "notExecuted"; cause: string }
  | { kind: "unknown"; cause: string };

function classifyAttempt(
  call: DomainCall,
  outcome: PeerCallOutcome,
): AttemptResult {
  switch (outcome.kind) {
    case "answered":
      if (outcome.answer.kind === "lost") {
        return { kind: "unknown", cause: "the owner lost the domain" };
      }
      if (outcome.answer.kind === "storeDown") {
        const { silentMs } = outcome.answer;
        const retryAfterMs = retryAfterOutageMs(call, silentMs);
        const cause = "the store does not answer";
        return { kind: "refused", cause, retryAfterMs, isStoreDown: true };
      }
      if (outcome.answer.kind === "overloaded") {
        const { retryAfterMs } = outcome.answer;
        const cause = "the account exceeds its rate while capacity is short";
        return { kind: "refused", cause, retryAfterMs, isStoreDown: false };
      }
      if (outcome.answer.kind === "notOwner") {
        return { kind: "notExecuted", cause: "the domain changes its owner" };
      }
      if (outcome.answer.kind === "unsearched") {
        return { kind: "unknown", cause: SEARCH_UNANSWERED };
      }
      return outcome;
    case "unsent":
      return { kind: "notExecuted", cause: outcome.cause };
    case "unknown":
      return outcome;
    default:
      return assertNever(outcome);
  }
}

/**
 * Calls an owner, and stops waiting as soon as the domain has a new owner. The
 * outcome is then unknown, and the call is repeated at the new owner.
 */
async function callUntilSuperseded(
  host: CallRouterHost,
  owner: string,
  call: DomainCall,
  timeoutMs: number,
): Promise<PeerCallOutcome> {
  const raceEnd = new AbortController();
  const superseded = host.directory
    .waitForOwnerChange(call.partition, owner, raceEnd.signal);
  const outcome = await Promise.race([
    callOwner(host, owner, call, timeoutMs),
    superseded,
  ]);
  raceEnd.abort(NO_LONGER_NEEDED);
  return outcome ?? { kind: "unknown", cause: "the domain has a new owner" };
}

/** Calls an owner in this process or through a peer call. */
async function callOwner(
  host: CallRouterHost,
  owner: string,
  call: DomainCall,
  timeoutMs: number,
): Promise<PeerCallOutcome> {
  if (owner !== host.self) return await host.callPeer(owner, call, timeoutMs);
  const answer = await untilTimeout(
    host.clock,
    executeDomainCall(host, call),
    timeoutMs,
  );
  if (answer !== undefined) return { kind: "answered", answer };
  return { kind: "unknown", cause: "the owner did not answer in time" };
}
