/**
 * A test harness for a domain, with a simulated clock and store.
 *
 * @module
 */
import { createDomain, type Domain } from "../domain.ts";
import type { DomainCommand, WorkerOrder } from "../domain_command.ts";
import type { DomainEvent } from "../domain_event.ts";
import type { EndedRun, ListedRun, WorkerReport } from "../worker_report.ts";
import type { JobRequest, QueuePolicy, Step } from "../job.ts";
import {
  type DomainRecord,
  drainDirtyRecords,
  recordCommitted,
  restoreDomain,
} from "../records.ts";
import { applyDomainEvent, scheduleDomain } from "../apply_domain_event.ts";
import type { WorkerListing } from "../worker_listing.ts";

const START_WALL_MS = 1_780_000_000_000;

/** A domain under test. */
export type DomainBench = {
  domain: Domain;
  nowMs: number;
  /** The simulated store: the newest value of each key. */
  store: Map<string, string>;
  /** All commands that the domain has issued. */
  commands: DomainCommand[];
  nextCall: number;
  /** Whether every event is committed at once. */
  commitsAtOnce: boolean;
};

/** Creates a bench with an empty domain at time 0. */
export function createBench(): DomainBench {
  const options = { endedJobKeepMs: 120_000 };
  return {
    domain: createDomain(options),
    nowMs: 0,
    store: new Map(),
    commands: [],
    nextCall: 1,
    commitsAtOnce: true,
  };
}

/** Applies an event, runs a scheduling pass and stores the changed records. */
export function feedEvent(
  bench: DomainBench,
  event: DomainEvent,
): DomainCommand[] {
  const moment = momentOf(bench);
  const commands = [
    ...applyDomainEvent(bench.domain, event, moment),
    ...scheduleDomain(bench.domain, moment),
  ];
  if (bench.commitsAtOnce) commit(bench);
  bench.commands.push(...commands);
  return commands;
}

/** Applies an event and runs a pass; the store does not answer. */
export function feedUncommitted(
  bench: DomainBench,
  event: DomainEvent,
): DomainCommand[] {
  bench.commitsAtOnce = false;
  const commands = feedEvent(bench, event);
  bench.commitsAtOnce = true;
  return commands;
}

/** Advances the clock, applies a tick and runs a scheduling pass. */
export function tick(bench: DomainBench, elapsedMs: number): DomainCommand[] {
  bench.nowMs += elapsedMs;
  return feedEvent(bench, { kind: "ticked" });
}

function commit(bench: DomainBench): void {
  const records = drainDirtyRecords(bench.domain);
  for (const { key, value } of records) {
    if (value === undefined) bench.store.delete(key);
    else bench.store.set(key, value);
  }
  recordCommitted(bench.domain, records);
}

function momentOf(bench: DomainBench) {
  return { steadyMs: bench.nowMs, wallMs: START_WALL_MS + bench.nowMs };
}

/** Replaces the domain by one restored from the store, as a new owner does. */
export function simulateTakeover(bench: DomainBench): void {
  bench.domain = createDomain(bench.domain.options);
  const records: DomainRecord[] = [...bench.store].map(([key, value]) => ({
    key,
    value,
  }));
  restoreDomain(bench.domain, records, bench.nowMs);
}

/** Creates a step of one ordinary task, with changes. */
export function step(changes: Partial<Step> = {}): Step {
  return {
    taskCount: 1,
    demand: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
    estimateMs: 1_000,
    after: [],
    gang: false,
    colocated: false,
    longRunning: false,
    opportunistic: false,
    checkpointed: false,
    ...changes,
  };
}

/** Creates a queue policy without advice, with changes. */
export function policy(changes: Partial<QueuePolicy> = {}): QueuePolicy {
  return {
    queue: "proofs",
    service: "desk",
    priority: 0,
    maxAttempts: 3,
    slackFactor: 2,
    targetCompletionMs: 500,
    ...changes,
  };
}

/** Submits a job. */
export function submit(
  bench: DomainBench,
  id: string,
  steps: Step[],
  changes?: Partial<QueuePolicy>,
  schedule?: JobRequest["schedule"],
): DomainCommand[] {
  return submitRequest(bench, {
    id,
    specification: "text",
    steps,
    ...(schedule === undefined ? {} : { schedule }),
  }, changes);
}

/** Submits a job as its caller writes it. */
export function submitRequest(
  bench: DomainBench,
  request: JobRequest,
  changes?: Partial<QueuePolicy>,
): DomainCommand[] {
  return feedEvent(bench, {
    kind: "submitted",
    call: bench.nextCall++,
    request,
    policy: policy(changes),
  });
}

/** Cancels a job. */
export function cancel(bench: DomainBench, job: string): DomainCommand[] {
  return feedEvent(bench, { kind: "cancelled", call: bench.nextCall++, job });
}

/** Creates a listing of a worker with 8 cores, 8 GB and 8 accelerators. */
export function listing(
  id: string,
  changes: Partial<WorkerListing> = {},
): WorkerListing {
  return {
    id,
    service: "desk",
    address: `10.0.0.1:${id.length}`,
    zone: "a",
    rack: "r1",
    labels: ["kind", "r1"],
    capacity: { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 8 },
    draining: false,
    bornMs: 1,
    ...changes,
  };
}

/** Lists workers and has each of them report that it runs nothing. */
export function listWorkers(
  bench: DomainBench,
  ...workers: WorkerListing[]
): void {
  feedEvent(bench, { kind: "workersListed", workers });
  for (const { id, bornMs } of workers) reportFrom(bench, id, { bornMs });
}

/** Has a worker report its running tasks and its ends. */
export function reportFrom(
  bench: DomainBench,
  worker: string,
  listed: Partial<WorkerReport>,
): DomainCommand[] {
  return feedEvent(bench, {
    kind: "looked",
    worker,
    look: {
      bornMs: 1,
      running: [],
      ended: [],
      sentAtMs: bench.nowMs,
      ...listed,
    },
  });
}

/** Creates an entry of a worker's list of running tasks. */
export function running(
  task: string,
  attempt: number,
  changes: Partial<ListedRun> = {},
): ListedRun {
  return { task, attempt, checkpoint: "", percent: 1, reading: 0, ...changes };
}

/** Creates an entry of a worker's list of ended runs. */
export function ended(
  number: number,
  task: string,
  attempt: number,
  end: EndedRun["end"],
): EndedRun {
  return { number, task, attempt, end, checkpoint: "" };
}

/** Returns the start orders among commands. */
export function startsIn(
  commands: DomainCommand[],
): Extract<WorkerOrder, { kind: "start" }>[] {
  return commands.flatMap((command) =>
    command.kind === "order" && command.order.kind === "start"
      ? [command.order]
      : []
  );
}

/** Returns the stop orders among commands. */
export function stopsIn(
  commands: DomainCommand[],
): Extract<WorkerOrder, { kind: "stop" }>[] {
  return commands.flatMap((command) =>
    command.kind === "order" && command.order.kind === "stop"
      ? [command.order]
      : []
  );
}
