/**
 * What an entry instance does with a call of a client: finds the owner of the
 * domain, here or elsewhere, and says truly what became of the call.
 *
 * @module
 */
import { assertNever, hash32, OVER } from "../base/mod.ts";
import type {
  JobDescription,
  JobRequest,
  JobState,
  QueuePolicy,
} from "../domain/mod.ts";
import type { Clock } from "../hosts/mod.ts";
import type { Directory, DomainHolder } from "../ownership/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import { executeDomainCall } from "./execute_domain_call.ts";
import type { DomainAnswer, DomainCall } from "./peer_call.ts";
import type { Reachability } from "./reachability.ts";

/** How long a call looks for the owner of its domain, in milliseconds. */
const OWNER_LOOKUP_TIMEOUT_MS = 1_500;
/** How long one attempt waits for an owner, which may be frozen, in ms. */
const ATTEMPT_TIMEOUT_MS = 1_200;
/** A takeover is over after this time, in milliseconds. */
const EXPECTED_TAKEOVER_MS = 1_000;
/** The longest time after which a client is asked to come back, in ms. */
const MAX_RETRY_AFTER_MS = 5_000;
/** Pause between two looks for the owner, in milliseconds. */
const OWNER_LOOKUP_INTERVAL_MS = 100;

/** What an entry needs. */
export type CallRouterHost = {
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  directory: Directory;
  holder: DomainHolder;
  /** Address of this instance, as the directory names it. */
  self: string;
  partitionCount: number;
  /** Calls another instance. */
  callPeer(
    instance: string,
    call: DomainCall,
    timeoutMs: number,
  ): Promise<PeerCallOutcome>;
  reachability: Reachability;
  /** The partition of an instance's domain that knows a job. */
  findJobAt(instance: string, job: string): Promise<number | undefined>;
  /** Services that ran a queue before. */
  previousServices(queue: string): string[];
  signal: AbortSignal;
};

/** How a call to another instance ended. */
export type PeerCallOutcome =
  | { kind: "answered"; answer: DomainAnswer }
  /** The call surely did not arrive. */
  | { kind: "unsent"; cause: string }
  | { kind: "unknown"; cause: string };

/** How a call of a client ended. */
export type CallOutcome<Value> =
  | { kind: "done"; value: Value }
  | { kind: "unknownJob" }
  /** Surely nothing was done; the client may come back. */
  | { kind: "unavailable"; cause: string; retryAfterMs: number }
  /** The call may have had its effect. */
  | { kind: "undecided"; cause: string };

/** The calls of clients. */
export type CallRouter = {
  submit(
    request: JobRequest,
    policy: QueuePolicy,
    timeoutMs: number,
  ): Promise<CallOutcome<undefined>>;
  cancel(
    job: string,
    service: string,
    timeoutMs: number,
  ): Promise<CallOutcome<undefined>>;
  stateOf(
    job: string,
    service: string,
    timeoutMs: number,
  ): Promise<CallOutcome<JobState>>;
  /** A job with its tasks, wherever it was accepted. */
  describe(
    job: string,
    services: string[],
    timeoutMs: number,
  ): Promise<CallOutcome<JobDescription>>;
  pendingJobs(
    policy: QueuePolicy,
    timeoutMs: number,
  ): Promise<CallOutcome<number>>;
};

/** The partition that holds the domain of a service. */
export function partitionOf(service: string, partitionCount: number): number {
  return hash32(service) % partitionCount;
}

/**
 * Creates the entry of an instance.
 *
 * @example
 * ```ts
 * const entry = createEntry(host);
 * const outcome = await entry.submit(request, policy, 3_000);
 * ```
 */
export function createCallRouter(host: CallRouterHost): CallRouter {
  const partitionOfService = (service: string) =>
    partitionOf(service, host.partitionCount);
  return {
    async submit(request, policy, timeoutMs) {
      // A repeat must not start a job again that another domain took on.
      const isAcceptedElsewhere =
        host.previousServices(policy.queue).length > 0 &&
        await findJobElsewhere(
            host,
            request.id,
            partitionOfService(policy.service),
          ) !==
          undefined;
      if (isAcceptedElsewhere) return { kind: "done", value: undefined };
      const call = {
        kind: "submit",
        partition: partitionOfService(policy.service),
        request,
        policy,
      } as const;
      return expectAccepted(
        await forwardToOwner(host, call, request.id, timeoutMs),
      );
    },
    async cancel(job, service, timeoutMs) {
      const call = {
        kind: "cancel",
        partition: partitionOfService(service),
        job,
      } as const;
      const outcome = await forwardToJobDomain(host, call, job, timeoutMs);
      return expectAccepted(outcome);
    },
    async stateOf(job, service, timeoutMs) {
      const partition = partitionOfService(service);
      const call = { kind: "state", partition, job } as const;
      const outcome = await forwardToJobDomain(host, call, job, timeoutMs);
      if (outcome.kind !== "done") return readOnlyOutcome(outcome);
      const { value } = outcome;
      if (value.kind === "unknownJob") return { kind: "unknownJob" };
      if (value.kind !== "state") return unexpectedAnswer(value);
      return { kind: "done", value: value.state };
    },
    async describe(job, services, timeoutMs) {
      let lastOutcome: CallOutcome<JobDescription> = { kind: "unknownJob" };
      for (const partition of new Set(services.map(partitionOfService))) {
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
    async pendingJobs(policy, timeoutMs) {
      const { queue } = policy;
      const partition = partitionOfService(policy.service);
      const call = { kind: "pending", partition, queue } as const;
      const outcome = await forwardToOwner(host, call, queue, timeoutMs);
      if (outcome.kind !== "done") return readOnlyOutcome(outcome);
      const { value } = outcome;
      if (value.kind !== "pending") return unexpectedAnswer(value);
      return { kind: "done", value: value.jobs };
    },
  };
}

function expectAccepted(
  outcome: CallOutcome<DomainAnswer>,
): CallOutcome<undefined> {
  if (outcome.kind !== "done") return outcome;
  if (outcome.value.kind === "unknownJob") return { kind: "unknownJob" };
  if (outcome.value.kind !== "accepted") return unexpectedAnswer(outcome.value);
  return { kind: "done", value: undefined };
}

/** A call that only reads has done nothing, however it ended. */
function readOnlyOutcome<Value>(
  outcome: Exclude<CallOutcome<Value>, { kind: "done" }>,
): CallOutcome<never> {
  if (outcome.kind !== "undecided") return outcome;
  const { cause } = outcome;
  return { kind: "unavailable", cause, retryAfterMs: EXPECTED_TAKEOVER_MS };
}

function unexpectedAnswer(answer: DomainAnswer): CallOutcome<never> {
  return { kind: "undecided", cause: `the owner answered "${answer.kind}"` };
}

/**
 * Brings a call about a job to the domain that knows it. That is another one
 * than the queue's if the queue has changed its service since.
 */
async function forwardToJobDomain(
  host: CallRouterHost,
  call: Extract<DomainCall, { job: string }>,
  job: string,
  timeoutMs: number,
): Promise<CallOutcome<DomainAnswer>> {
  const outcome = await forwardToOwner(host, call, job, timeoutMs);
  if (outcome.kind !== "done" || outcome.value.kind !== "unknownJob") {
    return outcome;
  }
  const partition = await findJobElsewhere(host, job, call.partition);
  if (partition === undefined) return outcome;
  return await forwardToOwner(host, { ...call, partition }, job, timeoutMs);
}

/** The partition of another domain that knows a job. */
async function findJobElsewhere(
  host: CallRouterHost,
  job: string,
  excludedPartition: number,
): Promise<number | undefined> {
  const owners = new Set(Object.values(host.directory.known()));
  const partitions = await Promise.all(
    [...owners].map((owner) =>
      owner === host.self ? host.holder.find(job) : host.findJobAt(owner, job)
    ),
  );
  return partitions.find((partition) =>
    partition !== undefined && partition !== excludedPartition
  );
}

/** Brings a call to the owner of its domain. */
async function forwardToOwner(
  host: CallRouterHost,
  call: DomainCall,
  subject: string,
  timeoutMs: number,
): Promise<CallOutcome<DomainAnswer>> {
  const startedAtMs = host.clock.steadyMs();
  const outcome = await callOwnerWithRetries(
    host,
    call,
    startedAtMs,
    timeoutMs,
  );
  const elapsedMs = host.clock.steadyMs() - startedAtMs;
  host.counters.count("calls", { kind: call.kind, outcome: outcome.kind });
  host.counters.observe("call_ms", elapsedMs);
  const isReadOnly = call.kind === "state" || call.kind === "describe" ||
    call.kind === "pending";
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
 * Tries the owner of the domain, and its successors. A call may arrive more
 * than once, since jobs are told apart by the ids that clients chose.
 */
async function callOwnerWithRetries(
  host: CallRouterHost,
  call: DomainCall,
  startedAtMs: number,
  timeoutMs: number,
): Promise<CallOutcome<DomainAnswer>> {
  const { clock, directory } = host;
  const deadlineAtMs = startedAtMs + timeoutMs;
  const lookupUntilMs = startedAtMs +
    Math.min(OWNER_LOOKUP_TIMEOUT_MS, timeoutMs / 2);
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
      const attempt = classifyAttempt(outcome);
      switch (attempt.kind) {
        case "answered":
          return { kind: "done", value: attempt.answer };
        case "refused":
          if (undecidedCause !== undefined) break;
          // The store may answer others, and one of them own the domain.
          directory.refresh();
          return { ...attempt, kind: "unavailable" };
        case "nothing":
          cause = attempt.cause;
          break;
        case "unknown":
          undecidedCause = attempt.cause;
          break;
        default:
          assertNever(attempt);
      }
    }
    // A successor that has named itself need not be looked for.
    if (remainingMs > 0 && hasSuccessor(host, call.partition, owner)) continue;
    const untilMs = undecidedCause === undefined ? lookupUntilMs : deadlineAtMs;
    if (clock.steadyMs() + OWNER_LOOKUP_INTERVAL_MS > untilMs) break;
    await clock.sleep(OWNER_LOOKUP_INTERVAL_MS, host.signal);
    await directory.refresh();
  }
  if (undecidedCause !== undefined) {
    return { kind: "undecided", cause: undecidedCause };
  }
  return { kind: "unavailable", cause, retryAfterMs: EXPECTED_TAKEOVER_MS };
}

/** Whether another owner is known by now than the one that was called. */
function hasSuccessor(
  { directory }: CallRouterHost,
  partition: number,
  calledOwner: string | undefined,
): boolean {
  const currentOwner = directory.known()[partition];
  return calledOwner !== undefined && currentOwner !== undefined &&
    currentOwner !== calledOwner;
}

type AttemptResult =
  | { kind: "answered"; answer: DomainAnswer }
  /** Surely nothing was done, and no other instance could do it. */
  | { kind: "refused"; cause: string; retryAfterMs: number }
  /** Surely nothing was done. */
  | { kind: "nothing"; cause: string }
  | { kind: "unknown"; cause: string };

function classifyAttempt(outcome: PeerCallOutcome): AttemptResult {
  switch (outcome.kind) {
    case "answered":
      if (outcome.answer.kind === "lost") {
        return { kind: "unknown", cause: "the owner lost the domain" };
      }
      if (outcome.answer.kind === "storeDown") {
        // An outage is expected to last as long again as it has.
        const retryAfterMs = Math.min(
          Math.max(outcome.answer.silentMs, EXPECTED_TAKEOVER_MS),
          MAX_RETRY_AFTER_MS,
        );
        const cause = "the store does not answer";
        return { kind: "refused", cause, retryAfterMs };
      }
      if (outcome.answer.kind === "notOwner") {
        return { kind: "nothing", cause: "the domain changes its owner" };
      }
      return outcome;
    case "unsent":
      return { kind: "nothing", cause: outcome.cause };
    case "unknown":
      return outcome;
    default:
      return assertNever(outcome);
  }
}

/** Calls an owner until it has a successor, where the call is repeated. */
async function callUntilSuperseded(
  host: CallRouterHost,
  owner: string,
  call: DomainCall,
  timeoutMs: number,
): Promise<PeerCallOutcome> {
  const raceEnd = new AbortController();
  const superseded = host.directory
    .whenOwnerIsNot(call.partition, owner, raceEnd.signal);
  const outcome = await Promise.race([
    callOwner(host, owner, call, timeoutMs),
    superseded,
  ]);
  raceEnd.abort(OVER);
  return outcome ?? { kind: "unknown", cause: "the domain has a new owner" };
}

async function callOwner(
  host: CallRouterHost,
  owner: string,
  call: DomainCall,
  timeoutMs: number,
): Promise<PeerCallOutcome> {
  if (owner !== host.self) return await host.callPeer(owner, call, timeoutMs);
  const timeout = new AbortController();
  const answer = await Promise.race([
    executeDomainCall(host.holder, call),
    host.clock.sleep(timeoutMs, timeout.signal),
  ]);
  timeout.abort(OVER);
  if (answer !== undefined) return { kind: "answered", answer };
  return { kind: "unknown", cause: "the owner did not answer in time" };
}
