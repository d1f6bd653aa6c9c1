/**
 * What an entry instance does with a call of a client: finds the owner of the
 * domain, here or elsewhere, and says truly what became of the call.
 *
 * @module
 */
import { assertNever, hash32, NO_LONGER_NEEDED } from "../base/mod.ts";
import type {
  JobDescription,
  JobRequest,
  JobState,
  QueuePolicy,
} from "../domain/mod.ts";
import type { Clock } from "../hosts/mod.ts";
import type { Directory, DomainHolder } from "../ownership/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import { answerCall } from "./answer_call.ts";
import type { DomainAnswer, DomainCall } from "./peer_call.ts";
import type { Reachability } from "./reachability.ts";

/** How long a call looks for the owner of its domain, in milliseconds. */
const FIND_OWNER_MS = 1_500;
/** How long one attempt waits for an owner, which may be frozen, in ms. */
const ATTEMPT_MS = 1_200;
/** A takeover is over after this time, in milliseconds. */
const TAKEOVER_MS = 1_000;
/** The longest time after which a client is asked to come back, in ms. */
const LONGEST_RETRY_AFTER_MS = 5_000;
/** Pause between two looks for the owner, in milliseconds. */
const FIND_PAUSE_MS = 100;

/** What an entry needs. */
export type EntryHost = {
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  directory: Directory;
  holder: DomainHolder;
  /** Address of this instance, as the directory names it. */
  self: string;
  partitions: number;
  /** Calls another instance. */
  callPeer(
    instance: string,
    call: DomainCall,
    timeoutMs: number,
  ): Promise<PeerOutcome>;
  reachability: Reachability;
  /** The partition of an instance's domain that knows a job. */
  findAt(instance: string, job: string): Promise<number | undefined>;
  /** Services that ran a queue before. */
  formerServices(queue: string): string[];
  signal: AbortSignal;
};

/** How a call to another instance ended. */
export type PeerOutcome =
  | { kind: "answered"; answer: DomainAnswer }
  /** The call surely did not arrive. */
  | { kind: "unsent"; cause: string }
  | { kind: "unknown"; cause: string };

/** How a call of a client ended. */
export type EntryOutcome<Value> =
  | { kind: "done"; value: Value }
  | { kind: "unknownJob" }
  /** Surely nothing was done; the client may come back. */
  | { kind: "unavailable"; cause: string; retryAfterMs: number }
  /** The call may have had its effect. */
  | { kind: "undecided"; cause: string };

/** The calls of clients. */
export type Entry = {
  submit(
    request: JobRequest,
    policy: QueuePolicy,
    deadlineMs: number,
  ): Promise<EntryOutcome<undefined>>;
  cancel(
    job: string,
    service: string,
    deadlineMs: number,
  ): Promise<EntryOutcome<undefined>>;
  stateOf(
    job: string,
    service: string,
    deadlineMs: number,
  ): Promise<EntryOutcome<JobState>>;
  /** A job with its tasks, wherever it was accepted. */
  describe(
    job: string,
    services: string[],
    deadlineMs: number,
  ): Promise<EntryOutcome<JobDescription>>;
  pendingJobs(
    policy: QueuePolicy,
    deadlineMs: number,
  ): Promise<EntryOutcome<number>>;
};

/** The partition that holds the domain of a service. */
export function partitionOf(service: string, partitions: number): number {
  return hash32(service) % partitions;
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
export function createEntry(host: EntryHost): Entry {
  const domainOf = (service: string) => partitionOf(service, host.partitions);
  return {
    async submit(request, policy, deadlineMs) {
      // A repeat must not start a job again that another domain took on.
      const isKnown = host.formerServices(policy.queue).length > 0 &&
        await findElsewhere(host, request.id, domainOf(policy.service)) !==
          undefined;
      if (isKnown) return { kind: "done", value: undefined };
      const call = {
        kind: "submit",
        partition: domainOf(policy.service),
        request,
        policy,
      } as const;
      return readDone(await forward(host, call, request.id, deadlineMs));
    },
    async cancel(job, service, deadlineMs) {
      const call = {
        kind: "cancel",
        partition: domainOf(service),
        job,
      } as const;
      const outcome = await forwardToJob(host, call, job, deadlineMs);
      return readDone(outcome);
    },
    async stateOf(job, service, deadlineMs) {
      const partition = domainOf(service);
      const call = { kind: "state", partition, job } as const;
      const outcome = await forwardToJob(host, call, job, deadlineMs);
      if (outcome.kind !== "done") return withoutEffect(outcome);
      const { value } = outcome;
      if (value.kind === "unknownJob") return { kind: "unknownJob" };
      if (value.kind !== "state") return strange(value);
      return { kind: "done", value: value.state };
    },
    async describe(job, services, deadlineMs) {
      let last: EntryOutcome<JobDescription> = { kind: "unknownJob" };
      for (const partition of new Set(services.map(domainOf))) {
        const call = { kind: "describe", partition, job } as const;
        const outcome = await forward(host, call, job, deadlineMs);
        if (outcome.kind !== "done") {
          last = withoutEffect(outcome);
          continue;
        }
        const { value } = outcome;
        if (value.kind === "description") {
          return { kind: "done", value: value.job };
        }
        if (value.kind !== "unknownJob") last = strange(value);
      }
      return last;
    },
    async pendingJobs(policy, deadlineMs) {
      const { queue } = policy;
      const partition = domainOf(policy.service);
      const call = { kind: "pending", partition, queue } as const;
      const outcome = await forward(host, call, queue, deadlineMs);
      if (outcome.kind !== "done") return withoutEffect(outcome);
      const { value } = outcome;
      if (value.kind !== "pending") return strange(value);
      return { kind: "done", value: value.jobs };
    },
  };
}

function readDone(
  outcome: EntryOutcome<DomainAnswer>,
): EntryOutcome<undefined> {
  if (outcome.kind !== "done") return outcome;
  if (outcome.value.kind === "unknownJob") return { kind: "unknownJob" };
  if (outcome.value.kind !== "accepted") return strange(outcome.value);
  return { kind: "done", value: undefined };
}

/** A call that only reads has done nothing, however it ended. */
function withoutEffect<Value>(
  outcome: Exclude<EntryOutcome<Value>, { kind: "done" }>,
): EntryOutcome<never> {
  if (outcome.kind !== "undecided") return outcome;
  const { cause } = outcome;
  return { kind: "unavailable", cause, retryAfterMs: TAKEOVER_MS };
}

function strange(answer: DomainAnswer): EntryOutcome<never> {
  return { kind: "undecided", cause: `the owner answered "${answer.kind}"` };
}

/**
 * Brings a call about a job to the domain that knows it. That is another one
 * than the queue's if the queue has changed its service since.
 */
async function forwardToJob(
  host: EntryHost,
  call: Extract<DomainCall, { job: string }>,
  job: string,
  deadlineMs: number,
): Promise<EntryOutcome<DomainAnswer>> {
  const outcome = await forward(host, call, job, deadlineMs);
  if (outcome.kind !== "done" || outcome.value.kind !== "unknownJob") {
    return outcome;
  }
  const partition = await findElsewhere(host, job, call.partition);
  if (partition === undefined) return outcome;
  return await forward(host, { ...call, partition }, job, deadlineMs);
}

/** The partition of another domain that knows a job. */
async function findElsewhere(
  host: EntryHost,
  job: string,
  besides: number,
): Promise<number | undefined> {
  const owners = new Set(Object.values(host.directory.known()));
  const found = await Promise.all(
    [...owners].map((owner) =>
      owner === host.self ? host.holder.find(job) : host.findAt(owner, job)
    ),
  );
  return found.find((partition) =>
    partition !== undefined && partition !== besides
  );
}

/** Brings a call to the owner of its domain. */
async function forward(
  host: EntryHost,
  call: DomainCall,
  subject: string,
  deadlineMs: number,
): Promise<EntryOutcome<DomainAnswer>> {
  const beganAtMs = host.clock.steadyMs();
  const outcome = await tryOwners(host, call, beganAtMs, deadlineMs);
  const elapsedMs = host.clock.steadyMs() - beganAtMs;
  host.counters.count("calls", { kind: call.kind, outcome: outcome.kind });
  host.counters.observe("call_ms", elapsedMs);
  const isRoutine = call.kind === "state" || call.kind === "describe" ||
    call.kind === "pending";
  if (!isRoutine || outcome.kind !== "done") {
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
async function tryOwners(
  host: EntryHost,
  call: DomainCall,
  beganAtMs: number,
  deadlineMs: number,
): Promise<EntryOutcome<DomainAnswer>> {
  const { clock, directory } = host;
  const deadlineAtMs = beganAtMs + deadlineMs;
  const findUntilMs = beganAtMs + Math.min(FIND_OWNER_MS, deadlineMs / 2);
  let undecided: string | undefined;
  let cause = "the domain has no owner";
  while (!host.signal.aborted) {
    const owner = await directory.ownerOf(call.partition);
    const leftMs = deadlineAtMs - clock.steadyMs();
    if (owner !== undefined && leftMs > 0) {
      const timeoutMs = Math.min(leftMs, ATTEMPT_MS);
      const outcome = await callWhileOwner(host, owner, call, timeoutMs);
      host.reachability.note(outcome.kind === "answered");
      const attempt = readAttempt(outcome);
      switch (attempt.kind) {
        case "answered":
          return { kind: "done", value: attempt.answer };
        case "refused":
          if (undecided !== undefined) break;
          // The store may answer others, and one of them own the domain.
          directory.refresh();
          return { ...attempt, kind: "unavailable" };
        case "nothing":
          cause = attempt.cause;
          break;
        case "unknown":
          undecided = attempt.cause;
          break;
        default:
          assertNever(attempt);
      }
    }
    // A successor that has named itself need not be looked for.
    if (leftMs > 0 && hasSuccessor(host, call.partition, owner)) continue;
    const untilMs = undecided === undefined ? findUntilMs : deadlineAtMs;
    if (clock.steadyMs() + FIND_PAUSE_MS > untilMs) break;
    await clock.sleep(FIND_PAUSE_MS, host.signal);
    await directory.refresh();
  }
  if (undecided !== undefined) return { kind: "undecided", cause: undecided };
  return { kind: "unavailable", cause, retryAfterMs: TAKEOVER_MS };
}

/** Whether another owner is known by now than the one that was called. */
function hasSuccessor(
  { directory }: EntryHost,
  partition: number,
  called: string | undefined,
): boolean {
  const present = directory.known()[partition];
  return called !== undefined && present !== undefined && present !== called;
}

type Attempt =
  | { kind: "answered"; answer: DomainAnswer }
  /** Surely nothing was done, and no other instance could do it. */
  | { kind: "refused"; cause: string; retryAfterMs: number }
  /** Surely nothing was done. */
  | { kind: "nothing"; cause: string }
  | { kind: "unknown"; cause: string };

function readAttempt(outcome: PeerOutcome): Attempt {
  switch (outcome.kind) {
    case "answered":
      if (outcome.answer.kind === "lost") {
        return { kind: "unknown", cause: "the owner lost the domain" };
      }
      if (outcome.answer.kind === "storeDown") {
        // An outage is expected to last as long again as it has.
        const retryAfterMs = Math.min(
          Math.max(outcome.answer.silentMs, TAKEOVER_MS),
          LONGEST_RETRY_AFTER_MS,
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
async function callWhileOwner(
  host: EntryHost,
  owner: string,
  call: DomainCall,
  timeoutMs: number,
): Promise<PeerOutcome> {
  const ended = new AbortController();
  const superseded = host.directory
    .whenOwnerIsNot(call.partition, owner, ended.signal);
  const outcome = await Promise.race([
    callOwner(host, owner, call, timeoutMs),
    superseded,
  ]);
  ended.abort(NO_LONGER_NEEDED);
  return outcome ?? { kind: "unknown", cause: "the domain has a new owner" };
}

async function callOwner(
  host: EntryHost,
  owner: string,
  call: DomainCall,
  timeoutMs: number,
): Promise<PeerOutcome> {
  if (owner !== host.self) return await host.callPeer(owner, call, timeoutMs);
  const expired = new AbortController();
  const answer = await Promise.race([
    answerCall(host.holder, call),
    host.clock.sleep(timeoutMs, expired.signal),
  ]);
  expired.abort(NO_LONGER_NEEDED);
  if (answer !== undefined) return { kind: "answered", answer };
  return { kind: "unknown", cause: "the owner did not answer in time" };
}
