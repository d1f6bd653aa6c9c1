/**
 * The owner of a domain: applies events to the domain with its reducer, commits
 * the changed records to the store, and only then sends orders and answers.
 *
 * @module
 */
import {
  applyDomainEvent,
  countPendingJobs,
  describeCustomerJobs,
  describeJob,
  type Domain,
  type DomainCommand,
  type DomainRecord,
  drainDirtyRecords,
  type EndedRun,
  heldQueuesOf,
  isHiddenFrom,
  type JobCaller,
  type JobDescription,
  type JobPreview,
  type JobRequest,
  jobStateOf,
  previewJob,
  type QueuePolicy,
  recordCommitted,
  recordGroupOf,
  takeAdviceRequest,
  viewTasks,
  viewWorkers,
} from "../domain/mod.ts";
import { createAccountLabels } from "./account_labels.ts";
import { createAdvisor } from "./advisor.ts";
import { createAllotmentKeeper } from "./allotments/mod.ts";
import type { DomainOwnerHost } from "./domain_owner_host.ts";
import type { DomainView } from "./domain_view.ts";
import { type Commit, createDomainWriter } from "./domain_writer.ts";
import { awaitEarlierOwners } from "./earlier_owners.ts";
import { createEventSource } from "./event_source.ts";
import type {
  DescriptionAnswer,
  OwnerAnswer,
  OwnerUnavailable,
  StateAnswer,
} from "./owner_answer.ts";
import {
  answerOutcomeReads,
  applyCall,
  failPendingCalls,
  STORE_DOWN_AFTER_MS,
  waitForCommit,
  waitUntilReportable,
} from "./owner_calls.ts";
import { createIncarnations } from "./incarnations.ts";
import { maxLeaseDurationMs } from "./lease_time.ts";
import {
  leaseLimitMs,
  reconcileLinks,
  remainingGrantMs,
  reopenLinks,
} from "./owner_links.ts";
import { createQueueRecorder } from "./queue_recorder.ts";
import { createJobClaims } from "./job_claims.ts";
import type {
  DomainQueues,
  QueueAddress,
  QueueRecord,
} from "./queue_records.ts";
import { createQueueSharers } from "./queue_sharers.ts";
import {
  createRelayedLinks,
  RELAY_GRANT_MS,
  withoutEarlierOwners,
} from "./relay/mod.ts";
import {
  executeCommitted,
  failOwnership,
  queueCommands,
  runPeriodicWork,
  schedulePass,
  sendOrdersAheadOfCommit,
} from "./owner_passes.ts";
import { currentMoment, emit, type OwnerState } from "./owner_state.ts";
import { createUncommittedJobs } from "./uncommitted_jobs.ts";
import { createUnstoredJobs } from "./unstored_jobs.ts";
import { createWorkerContact } from "./worker_contact.ts";

/** The owner of a domain. */
export type DomainOwner = {
  partition: number;
  epoch: number;
  /**
   * Submits a job; resolves once it is in the store. Answers `lost` where it is
   * unknown whether the job was stored, and `overloaded` where it was not and
   * is not to be; the latter only if the caller understands it.
   */
  submit(
    request: JobRequest,
    policy: QueuePolicy,
    options?: { mayRefuse?: boolean | undefined },
  ): Promise<OwnerAnswer>;
  cancel(job: string): Promise<OwnerAnswer>;
  /** The state of a job. A final state is returned only once it is stored. */
  stateOf(job: string): Promise<StateAnswer>;
  countPendingJobs(queue: string): number;
  /** A job with its tasks, under the same condition as `stateOf`. */
  describe(job: string): Promise<DescriptionAnswer>;
  /** The jobs of a customer. */
  list(customer: string): JobDescription[];
  /** The state of the domain for operators. */
  view(): DomainView;
  /** What would happen to a job that is submitted now; nothing changes. */
  preview(request: JobRequest, policy: QueuePolicy): JobPreview;
  hasJob(job: string): boolean;
  /** Whether a job is not shown to a caller. */
  isHiddenFrom(job: string, caller: JobCaller): boolean;
  /**
   * Waits until the store has a record that the domain may have jobs of a queue,
   * and until the owner knows which other domains may have some.
   *
   * @returns why that cannot be done; undefined if it is
   */
  recordQueue(queue: QueueAddress): Promise<OwnerUnavailable | undefined>;
  /** The other domains that may have jobs of a queue that was recorded. */
  sharersOf(queue: QueueAddress): DomainQueues[];
  /** Adds a domain that has recorded a queue. */
  addSharer(sharer: DomainQueues): void;
  /** Whether a call in progress may add a job to the domain. */
  hasClaim(job: string): boolean;
  /** Claims a job for a call in progress; returns how to end the claim. */
  claim(job: string): () => void;
  /**
   * Replaces queue records that are no longer needed.
   *
   * @param readAtMs when the read of the records began, on the steady clock
   */
  replaceObsoleteQueueRecords(
    stored: QueueRecord[],
    readAtMs: number,
  ): Promise<void>;
  /** Whether a job was cancelled before it arrived. */
  hasCancelled(job: string): boolean;
  /** Resolves once every change has been committed to the store. */
  flush(): Promise<void>;
};

/**
 * Starts serving a domain whose state was restored by a takeover.
 *
 * @example
 * ```ts
 * const owner = startDomainOwner(host, domain);
 * const answer = await owner.submit(request, policy);
 * ```
 *
 * @param host the dependencies of the owner; its signal ends the ownership
 */
export function startDomainOwner(
  host: DomainOwnerHost,
  domain: Domain,
): DomainOwner {
  const state = createOwnerState(host, domain);
  const sharers = createQueueSharers(host.partition.number, host.clock);
  const queueRecorder = createQueueRecorder({ ...host, sharers });
  const claims = createJobClaims();
  state.events.stream
    .loop((seed: Domain, event) => ({
      seed,
      value: applyDomainEvent(seed, event, currentMoment(state)),
    }), domain)
    .observe((commands: DomainCommand[]) => {
      queueCommands(state, commands);
      schedulePass(state);
    })
    .catch((error: unknown) => failOwnership(state, error));
  const earlierOwners = domain.owners.filter(({ epoch }) =>
    epoch !== host.epoch
  );
  state.allotments.observeConfiguration();
  awaitEarlierOwners(state, earlierOwners);
  host.workerList.subscribe(() => reconcileLinks(state), host.signal);
  reconcileLinks(state);
  runPeriodicWork(state);
  host.signal.addEventListener("abort", () => failPendingCalls(state));
  return {
    partition: host.partition.number,
    epoch: host.epoch,
    submit: (request, policy, { mayRefuse } = {}) =>
      applyCall(state, request.id, (number) => {
        const isNew = !domain.jobs.has(request.id);
        state.uncommittedJobs.add(request.id, number, isNew);
        return { kind: "submitted", call: number, request, policy, mayRefuse };
      }),
    cancel: (job) =>
      applyCall(state, job, (call) => ({ kind: "cancelled", call, job })),
    async stateOf(job) {
      const jobState = jobStateOf(domain, job) ?? "unknownJob";
      const unavailable = await waitUntilReportable(state, job, jobState);
      if (unavailable?.kind === "storeDown" && jobState !== "unknownJob") {
        // As far as the store knows, the job has not ended.
        return { kind: "state", state: "running" };
      }
      if (unavailable !== undefined) return unavailable;
      if (jobState === "unknownJob") return { kind: jobState };
      return { kind: "state", state: jobState };
    },
    countPendingJobs: (queue) => countPendingJobs(domain, queue),
    async describe(job) {
      const description = describeJob(domain, job, currentMoment(state));
      const unavailable = await waitUntilReportable(
        state,
        job,
        description?.state ?? "unknownJob",
      );
      if (unavailable !== undefined) return unavailable;
      if (description === undefined) return { kind: "unknownJob" };
      return { kind: "description", job: description };
    },
    list: (customer) =>
      describeCustomerJobs(domain, customer, currentMoment(state)),
    view: () => ({
      partition: host.partition.number,
      epoch: host.epoch,
      storeSilentMs: state.writer.appendAgeMs(),
      jobs: domain.jobs.size,
      workers: viewWorkers(domain),
      tasks: [...viewTasks(domain, currentMoment(state))],
    }),
    preview: (request, policy) =>
      previewJob(domain, request, policy, currentMoment(state)),
    hasJob: (job) => domain.jobs.has(job),
    isHiddenFrom: (job, caller) => isHiddenFrom(domain, job, caller),
    hasCancelled: (job) => domain.cancelledIds.has(job),
    async recordQueue(queue) {
      if (await queueRecorder.record(queue)) return undefined;
      if (host.signal.aborted) return { kind: "lost" };
      return { kind: "storeDown", silentMs: STORE_DOWN_AFTER_MS };
    },
    sharersOf: sharers.of,
    addSharer: sharers.add,
    hasClaim: claims.has,
    claim: claims.add,
    async replaceObsoleteQueueRecords(stored, readAtMs) {
      sharers.replace(stored, readAtMs);
      // The record of a cancelled id does not name its queue.
      if (domain.cancelledIds.size > 0) return;
      await queueRecorder.replaceObsolete(stored, heldQueuesOf(domain));
    },
    async flush() {
      await waitForCommit(state);
    },
  };
}

/** Takes the changes of a group of records that the store has rejected. */
function takeRetriedChanges(
  state: OwnerState,
  { group, keys }: { group: string; keys: string[] },
): Commit {
  const { domain } = state;
  for (const key of keys) domain.dirtyKeys.add(key);
  const records = drainDirtyRecords(
    domain,
    (key) => recordGroupOf(key) === group,
  );
  return {
    records,
    onCommitted: (rejected) =>
      completeCommit(state, { records, commands: [], rejected }),
  };
}

/** Executes what waited for a commit, and what no longer waits after it. */
function completeCommit(
  state: OwnerState,
  { records, commands, rejected }: {
    records: DomainRecord[];
    commands: DomainCommand[];
    rejected: DomainRecord[];
  },
): void {
  const { domain, unstoredJobs, writer } = state;
  const stored = records.filter((record) => !rejected.includes(record));
  unstoredJobs.settle(stored, rejected);
  recordCommitted(domain, stored);
  answerOutcomeReads(state);
  executeCommitted(state, unstoredJobs.release(commands));
  sendOrdersAheadOfCommit(state);
  if (rejected.length > 0) writer.requestCommit();
}

function createOwnerState(host: DomainOwnerHost, domain: Domain): OwnerState {
  const pendingCommands: DomainCommand[] = [];
  const uncommittedJobs = createUncommittedJobs();
  const callJobs = new Map<number, string>();
  const listedEnds = new Map<string, EndedRun[]>();
  const unstoredJobs = createUnstoredJobs({
    jobOfCall: (call) => callJobs.get(call),
    endsListedBy: (worker) =>
      (listedEnds.get(worker) ?? []).map(({ task }) => task),
  });
  const state: OwnerState = {
    host,
    startedAtMs: host.clock.steadyMs(),
    domain,
    events: createEventSource(),
    links: new Map(),
    relayedLinks: createRelayedLinks({
      ...host,
      sessions: host.relaySessions,
      peers: () => withoutEarlierOwners(host.relayPeers(), domain.owners),
      post: host.postToRelay,
      grantMs: () => remainingGrantMs(state),
      leaseLimitMs: () => leaseLimitMs(state),
      earlierLeasesRemainingMs: () =>
        Math.max(0, state.earlierLeasesExpireAtMs - host.clock.steadyMs()),
      emit: (event) => emit(state, event),
      onLinksLost: (workers) => reopenLinks(state, workers),
    }),
    contact: createWorkerContact(host.clock),
    incarnations: createIncarnations({
      ...host,
      hasEarlierOwners: domain.owners.some(({ epoch }) => epoch !== host.epoch),
      startPermits: domain.startPermits,
    }),
    restoredPermits: domain.startPermits.size,
    pendingCommands,
    writer: createDomainWriter({
      ...host,
      takeChanges() {
        const retry = unstoredJobs.takeRetry();
        if (retry !== undefined) return takeRetriedChanges(state, retry);
        const records = drainDirtyRecords(
          domain,
          (key) => !unstoredJobs.isSeparate(key),
        );
        if (records.length === 0 && pendingCommands.length === 0) {
          return undefined;
        }
        const commands = pendingCommands.splice(0);
        uncommittedJobs.markAllSent();
        return {
          records,
          onCommitted: (rejected) =>
            completeCommit(state, { records, commands, rejected }),
        };
      },
    }),
    advisor: createAdvisor({
      ...host,
      takeAdviceRequest: (maxCostMs) =>
        takeAdviceRequest(domain, currentMoment(state), maxCostMs),
      onAnswer: (request, advice) =>
        emit(state, {
          kind: "advised",
          stepKey: request.stepKey,
          namedWorkers: request.workers,
          allowed: advice?.allowed,
          validMs: advice?.validMs ?? 0,
        }),
    }),
    allotments: createAllotmentKeeper(
      { ...host, emit: (event) => emit(state, event) },
      domain,
    ),
    pendingCalls: new Map(),
    callJobs,
    listedEnds,
    pendingReads: new Set(),
    outcomeReads: new Map(),
    nextCallNumber: 1,
    uncommittedJobs,
    unstoredJobs,
    earlierLeasesExpireAtMs: host.clock.steadyMs() +
      maxLeaseDurationMs(host.leaseMs + host.ownershipValidMs + RELAY_GRANT_MS),
    accountLabels: createAccountLabels(),
    isPassScheduled: false,
    nextPassAtMs: 0,
  };
  return state;
}
