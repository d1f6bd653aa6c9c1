/**
 * The owner of a domain: folds events over the domain's reducer, commits what
 * changed, and only then lets orders and answers leave.
 *
 * @module
 */
import {
  describeJob,
  describeJobsOf,
  type Domain,
  type DomainCommand,
  type JobDescription,
  type JobRequest,
  jobStateOf,
  type OwnerEntry,
  pendingJobs,
  type QueuePolicy,
  stepDomain,
  takeDirtyRecords,
  takeQuestion,
  viewTasks,
  viewWorkers,
} from "../domain/mod.ts";
import { createAdvisor } from "./advisor.ts";
import type { DomainOwnerHost } from "./domain_owner_host.ts";
import type { DomainView } from "./domain_view.ts";
import { createDomainWriter } from "./domain_writer.ts";
import { createEventSource } from "./event_source.ts";
import type {
  DescriptionAnswer,
  OwnerAnswer,
  StateAnswer,
} from "./owner_answer.ts";
import { abandonCalls, awaitTellable, call, settle } from "./owner_calls.ts";
import { longestLeaseMs } from "./lease_time.ts";
import { grantMs, reopenLinks, takeList } from "./owner_links.ts";
import { createRelayedLinks, RELAY_GRANT_MS } from "./relay/mod.ts";
import { fail, keepTicking, planPass, release, route } from "./owner_passes.ts";
import { emit, momentOf, type OwnerState } from "./owner_state.ts";
import { createUncommittedJobs } from "./uncommitted_jobs.ts";

/** Pause between two questions whether a predecessor has ended, in ms. */
const PREDECESSOR_RETRY_MS = 400;

/** The owner of a domain. */
export type DomainOwner = {
  /** Resolves once the job is in the store; `lost` if that is not known. */
  submit(request: JobRequest, policy: QueuePolicy): Promise<OwnerAnswer>;
  cancel(job: string): Promise<OwnerAnswer>;
  /** The state of a job after everything before the call is in the store. */
  stateOf(job: string): Promise<StateAnswer>;
  pendingJobs(queue: string): number;
  /** A job with its tasks, under the same condition as its state. */
  describe(job: string): Promise<DescriptionAnswer>;
  /** The jobs of a client account. */
  list(customer: string): JobDescription[];
  /** What operators are shown. */
  view(): DomainView;
  knows(job: string): boolean;
  /** Resolves once nothing waits for the store. */
  settle(): Promise<void>;
};

/**
 * Starts to own a domain whose state was restored.
 *
 * @example
 * ```ts
 * const owner = startDomainOwner(host, domain);
 * const answer = await owner.submit(request, policy);
 * ```
 *
 * @param host its signal ends the ownership
 */
export function startDomainOwner(
  host: DomainOwnerHost,
  domain: Domain,
): DomainOwner {
  const state = createState(host, domain);
  state.events.stream
    .loop((seed: Domain, event) => ({
      seed,
      value: stepDomain(seed, event, momentOf(state)),
    }), domain)
    .observe((commands: DomainCommand[]) => {
      route(state, commands);
      planPass(state);
    })
    .catch((error: unknown) => fail(state, error));
  const predecessors = domain.owners.filter(({ epoch }) =>
    epoch !== host.epoch
  );
  awaitPredecessors(state, predecessors);
  host.list.subscribe(() => takeList(state), host.signal);
  takeList(state);
  keepTicking(state);
  host.signal.addEventListener("abort", () => abandonCalls(state));
  return {
    submit: (request, policy) =>
      call(state, (number) => {
        const isNew = !domain.jobs.has(request.id);
        state.uncommitted.add(request.id, number, isNew);
        return { kind: "submitted", call: number, request, policy };
      }),
    cancel: (job) =>
      call(state, (number) => ({ kind: "cancelled", call: number, job })),
    async stateOf(job) {
      const seen = jobStateOf(domain, job) ?? "unknownJob";
      const silence = await awaitTellable(state, seen);
      if (silence !== undefined) return silence;
      if (seen === "unknownJob") return { kind: seen };
      return { kind: "state", state: seen };
    },
    pendingJobs: (queue) => pendingJobs(domain, queue),
    async describe(job) {
      const seen = describeJob(domain, job, momentOf(state));
      const silence = await awaitTellable(state, seen?.state ?? "unknownJob");
      if (silence !== undefined) return silence;
      if (seen === undefined) return { kind: "unknownJob" };
      return { kind: "description", job: seen };
    },
    list: (customer) => describeJobsOf(domain, customer, momentOf(state)),
    view: () => ({
      partition: host.partition.number,
      epoch: host.epoch,
      storeSilentMs: state.writer.stalledMs(),
      jobs: domain.jobs.size,
      workers: viewWorkers(domain),
      tasks: [...viewTasks(domain, momentOf(state))],
    }),
    knows: (job) => domain.jobs.has(job),
    async settle() {
      await settle(state);
    },
  };
}

/**
 * Finds out that earlier owners have ended. Until then, one of them may have
 * just prolonged a lease; afterwards only the leases that it granted last.
 */
async function awaitPredecessors(
  state: OwnerState,
  predecessors: OwnerEntry[],
): Promise<void> {
  const { host } = state;
  const { signal, clock } = host;
  await Promise.all(predecessors.map(async (owner) => {
    const untilMs = clock.steadyMs() + host.trustMs;
    while (!signal.aborted && clock.steadyMs() < untilMs) {
      if (await host.hasEnded(owner, host.partition.number)) break;
      await clock.sleep(PREDECESSOR_RETRY_MS, signal);
    }
    emit(state, { kind: "ownerEnded", owner });
  }));
  // Its relays may have gone on for a moment after it ended.
  const lapsedAtMs = clock.steadyMs() +
    longestLeaseMs(host.leaseMs + RELAY_GRANT_MS);
  state.earlierLeasesLapsedAtMs = Math.min(
    state.earlierLeasesLapsedAtMs,
    lapsedAtMs,
  );
  state.relayed.sendLeaseFloor();
}

function createState(host: DomainOwnerHost, domain: Domain): OwnerState {
  const waiting: DomainCommand[] = [];
  const uncommitted = createUncommittedJobs();
  const state: OwnerState = {
    host,
    domain,
    events: createEventSource(),
    links: new Map(),
    relayed: createRelayedLinks({
      ...host,
      sessions: host.relaySessions,
      peers: host.relayPeers,
      post: host.postToRelay,
      grantMs: () => grantMs(state),
      earlierLeasesRemainingMs: () =>
        Math.max(0, state.earlierLeasesLapsedAtMs - host.clock.steadyMs()),
      emit: (event) => emit(state, event),
      onLinksLost: (workers) => reopenLinks(state, workers),
    }),
    waiting,
    writer: createDomainWriter({
      ...host,
      take() {
        if (domain.dirty.size === 0 && waiting.length === 0) return undefined;
        const released = waiting.splice(0);
        uncommitted.takeAll();
        const records = takeDirtyRecords(domain);
        return { records, release: () => release(state, released) };
      },
    }),
    advisor: createAdvisor({
      ...host,
      takeQuestion: (mostMs) => takeQuestion(domain, momentOf(state), mostMs),
      onAnswer: (question, advice) =>
        emit(state, {
          kind: "advised",
          stepKey: question.stepKey,
          asked: question.workers,
          allowed: advice?.allowed,
          validMs: advice?.validMs ?? 0,
        }),
    }),
    calls: new Map(),
    reads: new Set(),
    nextCall: 1,
    uncommitted,
    earlierLeasesLapsedAtMs: host.clock.steadyMs() +
      longestLeaseMs(host.leaseMs + host.trustMs + RELAY_GRANT_MS),
    isPassPlanned: false,
    nextPassAtMs: 0,
  };
  return state;
}
