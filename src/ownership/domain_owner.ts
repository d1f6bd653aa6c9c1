/**
 * The owner of a domain: folds events over the domain's reducer, commits what
 * changed, and only then lets orders and answers leave.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { assertNever } from "../base/mod.ts";
import {
  type CallAnswer,
  confirmOwnership,
  describeJob,
  describeJobsOf,
  type Domain,
  type DomainCommand,
  type DomainEvent,
  explainWaits,
  type JobDescription,
  type JobRequest,
  type JobState,
  jobStateOf,
  type Moment,
  type OwnerEntry,
  pendingJobs,
  type QueuePolicy,
  scheduleDomain,
  stepDomain,
  takeDirtyRecords,
  takeQuestion,
  viewTasks,
  viewWorkers,
  type WorkerListing,
  type WorkerOrder,
} from "../domain/mod.ts";
import type {
  Advice,
  AdviceQuestion,
  Clock,
  Partition,
  StoreHost,
  TaskHost,
} from "../hosts/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import { type Advisor, createAdvisor } from "./advisor.ts";
import type { DomainView } from "./domain_view.ts";
import { createDomainWriter, type DomainWriter } from "./domain_writer.ts";
import { createEventSource, type EventSource } from "./event_source.ts";
import { openWorkerLink, type WorkerLink } from "./worker_link.ts";
import {
  createUncommittedJobs,
  type UncommittedJobs,
} from "./uncommitted_jobs.ts";
import type { WorkerList } from "./worker_list.ts";

/** Least time between two scheduling passes, in milliseconds. */
const LEAST_PASS_GAP_MS = 4;
/** How much longer than a pass the time to the next one is. */
const PASS_GAP_FACTOR = 4;
/** The longest time between two scheduling passes, in milliseconds. */
const LONGEST_PASS_GAP_MS = 100;
/** An append without an answer for this long means that the store is down. */
const STORE_DOWN_AFTER_MS = 800;
/** Pause between two questions whether a predecessor has ended, in ms. */
const PREDECESSOR_RETRY_MS = 400;
/** The slowest rate of a worker's clock. */
const SLOWEST_RATE = 0.98;
/** Time for a worker to end its tasks after the lapse, in milliseconds. */
const LEASE_END_MARGIN_MS = 400;
/** How often ended jobs are looked for and long waits explained, in ms. */
const TICK_MS = 2_000;
/** How many of the steps that wait longest are explained each time. */
const EXPLAINED_STEPS = 3;
/** Steps that wait for less are not explained, in milliseconds. */
const LONG_WAIT_MS = 2_000;

/** What the owner of a domain needs. */
export type DomainOwnerHost = {
  store: StoreHost;
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  list: WorkerList;
  partition: Partition;
  epoch: number;
  /** Sequence number of the next append. */
  sequence: number;
  leaseMs: number;
  /** Address of this instance. */
  self: string;
  /** Whether an earlier owner surely grants no lease any more. */
  hasEnded(owner: OwnerEntry, partition: number): Promise<boolean>;
  /** How long leases are granted without word from the store, in ms. */
  trustMs: number;
  /** When the store last confirmed the membership, on the steady clock. */
  confirmedAtMs(): number;
  /** Whether a service belongs to the domain. */
  servesDomain(service: string): boolean;
  instances(): string[];
  askThrough(
    instance: string,
    question: AdviceQuestion,
  ): Promise<Advice | undefined>;
  /** A successor exists, so the ownership has ended. */
  onFenced(cause: string): void;
  /** The state in this process is of no use; the store has the truth. */
  onFailed(cause: string): void;
  signal: AbortSignal;
};

/** The owner of a domain. */
export type DomainOwner = {
  /** Resolves once the job is in the store; `lost` if that is not known. */
  submit(request: JobRequest, policy: QueuePolicy): Promise<OwnerAnswer>;
  cancel(job: string): Promise<OwnerAnswer>;
  /** The state of a job after everything before the call is in the store. */
  stateOf(job: string): Promise<JobState | "unknownJob" | "lost">;
  pendingJobs(queue: string): number;
  /** A job with its tasks, under the same condition as its state. */
  describe(job: string): Promise<JobDescription | "unknownJob" | "lost">;
  /** The jobs of a client account. */
  list(customer: string): JobDescription[];
  /** What operators are shown. */
  view(): DomainView;
  knows(job: string): boolean;
  /** Resolves once nothing waits for the store. */
  settle(): Promise<void>;
};

/** The answer of an owner. */
export type OwnerAnswer =
  | CallAnswer
  /** The owner lost the domain; the change may be in the store. */
  | { kind: "lost" }
  /** The store has not answered for a while; the call was not taken on. */
  | { kind: "storeDown"; silentMs: number };

type State = {
  host: DomainOwnerHost;
  domain: Domain;
  events: EventSource<DomainEvent>;
  links: Map<string, { link: WorkerLink; ending: AbortController }>;
  /** Orders and answers that wait for the next commit. */
  waiting: DomainCommand[];
  writer: DomainWriter;
  advisor: Advisor;
  calls: Map<number, (answer: OwnerAnswer) => void>;
  nextCall: number;
  uncommitted: UncommittedJobs;
  /** When every lease of earlier owners has lapsed, on the steady clock. */
  earlierLeasesLapsedAtMs: number;
  isPassPlanned: boolean;
  nextPassAtMs: number;
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
      return await isTellable(state, seen) ? seen : "lost";
    },
    pendingJobs: (queue) => pendingJobs(domain, queue),
    async describe(job) {
      const seen = describeJob(domain, job, momentOf(state));
      const isTold = await isTellable(state, seen?.state ?? "unknownJob");
      return isTold ? seen ?? "unknownJob" : "lost";
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
  state: State,
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
  const lapsedAtMs = clock.steadyMs() + longestLeaseMs(host.leaseMs);
  state.earlierLeasesLapsedAtMs = Math.min(
    state.earlierLeasesLapsedAtMs,
    lapsedAtMs,
  );
}

/** How long a lease may last on a slow clock, with a margin for its end. */
function longestLeaseMs(leaseMs: number): number {
  return leaseMs / SLOWEST_RATE + LEASE_END_MARGIN_MS;
}

/** A reducer that failed has lost its state; it is read from the store anew. */
function fail(state: State, error: unknown): void {
  const { host } = state;
  const cause = error instanceof Error ? error.stack ?? error.message : error;
  host.logger.error("The reducer of a domain failed.", {
    partition: host.partition.number,
    cause: String(cause),
  });
  host.onFailed("the reducer failed");
}

function createState(host: DomainOwnerHost, domain: Domain): State {
  const waiting: DomainCommand[] = [];
  const uncommitted = createUncommittedJobs();
  const state: State = {
    host,
    domain,
    events: createEventSource(),
    links: new Map(),
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
    nextCall: 1,
    uncommitted,
    earlierLeasesLapsedAtMs: host.clock.steadyMs() +
      longestLeaseMs(host.leaseMs + host.trustMs),
    isPassPlanned: false,
    nextPassAtMs: 0,
  };
  return state;
}

function momentOf(state: State): Moment {
  const { clock } = state.host;
  return { steadyMs: clock.steadyMs(), wallMs: clock.nowMs() };
}

function emit(state: State, event: DomainEvent): void {
  if (!state.host.signal.aborted) state.events.emit(event);
}

function route(state: State, commands: DomainCommand[]): void {
  for (const command of commands) {
    switch (command.kind) {
      case "report":
        state.host.logger.info(command.sentence, command.fields);
        break;
      case "order":
      case "answer":
      case "acknowledge":
        state.waiting.push(command);
        break;
      default:
        assertNever(command);
    }
  }
  if (state.waiting.length > 0 || state.domain.dirty.size > 0) {
    state.writer.kick();
  }
}

/** Lets out what waited for a commit. */
function release(state: State, commands: DomainCommand[]): void {
  for (const command of commands) {
    switch (command.kind) {
      case "order":
        state.links.get(command.order.worker)?.link.order(command.order);
        break;
      case "answer":
        state.calls.get(command.call)?.(command.answer);
        state.calls.delete(command.call);
        break;
      case "acknowledge":
        state.links.get(command.worker)?.link
          .acknowledge(command.bornMs, command.lastEnd);
        break;
      case "report":
        break;
      default:
        assertNever(command);
    }
  }
}

/** Plans one scheduling pass for all events that arrive until then. */
function planPass(state: State): void {
  const { host } = state;
  if (state.isPassPlanned || host.signal.aborted) return;
  state.isPassPlanned = true;
  const delayMs = Math.max(0, state.nextPassAtMs - host.clock.steadyMs());
  setTimeout(() => runPass(state), delayMs);
}

function runPass(state: State): void {
  const { host } = state;
  state.isPassPlanned = false;
  if (host.signal.aborted) return;
  const beganAtMs = host.clock.steadyMs();
  try {
    route(state, scheduleDomain(state.domain, momentOf(state)));
  } catch (error) {
    return fail(state, error);
  }
  state.advisor.dispatch();
  const endedAtMs = host.clock.steadyMs();
  const elapsedMs = endedAtMs - beganAtMs;
  host.counters.observe("pass_ms", elapsedMs);
  const gapMs = Math.max(LEAST_PASS_GAP_MS, elapsedMs * PASS_GAP_FACTOR);
  state.nextPassAtMs = endedAtMs + Math.min(gapMs, LONGEST_PASS_GAP_MS);
}

async function keepTicking(state: State): Promise<void> {
  const { clock, signal } = state.host;
  let tickAtMs = clock.steadyMs();
  while (!signal.aborted) {
    await clock.sleep(LONGEST_PASS_GAP_MS, signal);
    planPass(state);
    lapseUnlisted(state);
    refuseUncommitted(state);
    if (clock.steadyMs() < tickAtMs) continue;
    tickAtMs = clock.steadyMs() + TICK_MS;
    emit(state, { kind: "ticked" });
    explainLongWaits(state);
  }
}

/**
 * Refuses the submissions that wait behind an append without an answer. None
 * of them has left the process, so none has run or will.
 */
function refuseUncommitted(state: State): void {
  const { host, writer, waiting, calls } = state;
  const silentMs = writer.stalledMs();
  if (silentMs <= STORE_DOWN_AFTER_MS) return;
  for (const { job, calls: numbers } of state.uncommitted.withdrawAll()) {
    emit(state, { kind: "withdrawn", job });
    const prefix = `${job}.`;
    const kept = waiting.splice(0).filter((command) => {
      if (command.kind === "answer") return !numbers.includes(command.call);
      return command.kind !== "order" ||
        !command.order.task.startsWith(prefix);
    });
    waiting.push(...kept);
    host.logger.info("Took a job back: the store does not answer.", {
      job,
      silentMs: Math.round(silentMs),
    });
    for (const number of numbers) {
      calls.get(number)?.({ kind: "storeDown", silentMs });
      calls.delete(number);
    }
  }
}

function explainLongWaits(state: State): void {
  const reports = explainWaits(
    state.domain,
    momentOf(state),
    EXPLAINED_STEPS,
  );
  for (const report of reports) {
    if (report.waitedMs < LONG_WAIT_MS) continue;
    state.host.logger.info("A step waits.", report);
  }
}

/** Workers that only the records know run nothing once leases have lapsed. */
function lapseUnlisted(state: State): void {
  const { host, domain, links } = state;
  if (host.clock.steadyMs() < state.earlierLeasesLapsedAtMs) return;
  for (const [id, worker] of domain.workers) {
    if (links.has(id) || worker.placed.size === 0) continue;
    emit(state, { kind: "workerLapsed", worker: id });
  }
}

/** Brings the links up to the list of workers. */
function takeList(state: State): void {
  const { host, domain, links } = state;
  const workers = host.list.workers().filter((worker) =>
    host.servesDomain(worker.service)
  );
  emit(state, { kind: "workersListed", workers });
  for (const worker of workers) {
    const known = links.get(worker.id);
    if (known?.link.address === worker.address) continue;
    known?.ending.abort();
    openLink(state, worker);
  }
  const listed = new Set(workers.map(({ id }) => id));
  for (const [id, worker] of domain.workers) {
    const hasEnded = !listed.has(id) && host.list.hasLeft(id);
    if (!hasEnded || worker.placed.size === 0) continue;
    host.logger.info("A worker ended with tasks on it.", {
      worker: id,
      tasks: worker.placed.size,
    });
    emit(state, { kind: "workerLapsed", worker: id });
  }
  for (const [id, { ending }] of links) {
    // A worker that left the list may still run what it was given.
    const isIdle = (domain.workers.get(id)?.placed.size ?? 0) === 0;
    if (listed.has(id) || !isIdle) continue;
    ending.abort();
    links.delete(id);
  }
}

function openLink(state: State, worker: WorkerListing): void {
  const { host, domain, links } = state;
  const ending = new AbortController();
  // Each order that is on its way listens to the end of the link.
  setMaxListeners(0, ending.signal);
  host.signal.addEventListener("abort", () => ending.abort(), {
    signal: ending.signal,
  });
  const link = openWorkerLink({
    ...host,
    target: { id: worker.id, address: worker.address, epoch: host.epoch },
    earlierLeasesLapsedAtMs: () => state.earlierLeasesLapsedAtMs,
    mayGrant: () => mayGrant(state),
    emit: (event) => emit(state, event),
    isCurrent: (order) => isCurrent(domain, order),
    signal: ending.signal,
  });
  links.set(worker.id, { link, ending });
}

/** Leases are granted while the ownership was confirmed not long ago. */
function mayGrant(state: State): boolean {
  const { host, writer } = state;
  const confirmedAtMs = Math.max(host.confirmedAtMs(), writer.confirmedAtMs());
  return host.clock.steadyMs() - confirmedAtMs < host.trustMs;
}

/** Whether an order to a worker still holds. */
function isCurrent(domain: Domain, order: WorkerOrder): boolean {
  const ref = domain.workers.get(order.worker)?.placed.get(order.task);
  const task = ref?.run.tasks[ref.index];
  const isPlaced = task?.kind === "placed" && task.attempt === order.attempt;
  switch (order.kind) {
    case "start":
      return isPlaced && task.phase.kind === "starting";
    case "stop":
      return !isPlaced || task.phase.kind === "stopping";
    case "pace":
      return isPlaced;
    default:
      return assertNever(order);
  }
}

function call(
  state: State,
  eventOf: (number: number) => DomainEvent,
): Promise<OwnerAnswer> {
  return new Promise((resolve) => {
    if (state.host.signal.aborted) return resolve({ kind: "lost" });
    const silentMs = state.writer.stalledMs();
    if (silentMs > STORE_DOWN_AFTER_MS) {
      return resolve({ kind: "storeDown", silentMs });
    }
    const number = state.nextCall++;
    state.calls.set(number, resolve);
    emit(state, eventOf(number));
  });
}

/** Whether a state may be told; a final one has to be in the store first. */
async function isTellable(
  state: State,
  seen: JobState | "unknownJob",
): Promise<boolean> {
  if (seen === "pending" || seen === "running") return true;
  // A successor may know the job.
  if (seen === "unknownJob") confirmOwnership(state.domain);
  return await settle(state);
}

/** Resolves after everything so far is in the store; false if it got lost. */
async function settle(state: State): Promise<boolean> {
  const { domain, waiting, writer, host } = state;
  if (host.signal.aborted) return false;
  if (writer.isIdle() && domain.dirty.size === 0) return true;
  return await new Promise((resolve) => {
    const number = state.nextCall++;
    state.calls.set(number, (answer) => resolve(answer.kind !== "lost"));
    waiting.push({
      kind: "answer",
      call: number,
      answer: { kind: "accepted" },
    });
    writer.kick();
  });
}

function abandonCalls(state: State): void {
  for (const resolve of state.calls.values()) resolve({ kind: "lost" });
  state.calls.clear();
}
