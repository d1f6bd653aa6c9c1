/**
 * A domain with its clock, for tests of single decisions.
 *
 * @module
 */
import { createDomain, type Domain } from "../domain.ts";
import type { DomainCommand, WorkerOrder } from "../domain_command.ts";
import type { DomainEvent } from "../domain_event.ts";
import type { EndedRun, ListedRun } from "../worker_report.ts";
import type { JobRequest, QueuePolicy, Step } from "../job.ts";
import {
  type DomainRecord,
  drainDirtyRecords,
  restoreDomain,
} from "../records.ts";
import { applyDomainEvent, scheduleDomain } from "../apply_domain_event.ts";
import type { WorkerListing } from "../worker_listing.ts";

const START_WALL_MS = 1_780_000_000_000;

/** A domain under test. */
export type DomainBench = {
  domain: Domain;
  nowMs: number;
  /** What a store would hold: the newest value of each key. */
  store: Map<string, string>;
  /** Every command so far. */
  commands: DomainCommand[];
  nextCall: number;
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
  };
}

/** Feeds an event, runs a pass, and stores what changed. */
export function feedEvent(
  bench: DomainBench,
  event: DomainEvent,
): DomainCommand[] {
  const moment = momentOf(bench);
  const commands = [
    ...applyDomainEvent(bench.domain, event, moment),
    ...scheduleDomain(bench.domain, moment),
  ];
  commit(bench);
  bench.commands.push(...commands);
  return commands;
}

/** Lets time pass, and runs a scheduling pass. */
export function tick(bench: DomainBench, elapsedMs: number): DomainCommand[] {
  bench.nowMs += elapsedMs;
  return feedEvent(bench, { kind: "ticked" });
}

function commit(bench: DomainBench): void {
  for (const { key, value } of drainDirtyRecords(bench.domain)) {
    if (value === undefined) bench.store.delete(key);
    else bench.store.set(key, value);
  }
}

function momentOf(bench: DomainBench) {
  return { steadyMs: bench.nowMs, wallMs: START_WALL_MS + bench.nowMs };
}

/** Replaces the domain by one restored from the store, as a takeover does. */
export function simulateTakeover(bench: DomainBench): void {
  bench.domain = createDomain(bench.domain.options);
  const records: DomainRecord[] = [...bench.store].map(([key, value]) => ({
    key,
    value,
  }));
  restoreDomain(bench.domain, records, bench.nowMs);
}

/** A step of one plain task, with changes. */
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

/** A policy without advice, with changes. */
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

/** Hands a job in. */
export function submit(
  bench: DomainBench,
  id: string,
  steps: Step[],
  changes?: Partial<QueuePolicy>,
  schedule?: JobRequest["schedule"],
): DomainCommand[] {
  return feedEvent(bench, {
    kind: "submitted",
    call: bench.nextCall++,
    request: {
      id,
      specification: "text",
      steps,
      ...(schedule === undefined ? {} : { schedule }),
    },
    policy: policy(changes),
  });
}

/** Cancels a job. */
export function cancel(bench: DomainBench, job: string): DomainCommand[] {
  return feedEvent(bench, { kind: "cancelled", call: bench.nextCall++, job });
}

/** A listing of a worker with 8 cores, 8 GB and 8 accelerators. */
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

/** Lists workers and has each one answer a first look. */
export function listWorkers(
  bench: DomainBench,
  ...workers: WorkerListing[]
): void {
  feedEvent(bench, { kind: "workersListed", workers });
  for (const worker of workers) reportFrom(bench, worker.id, {});
}

/** Has a worker answer a look. */
export function reportFrom(
  bench: DomainBench,
  worker: string,
  listed: { running?: ListedRun[]; ended?: EndedRun[]; bornMs?: number },
): DomainCommand[] {
  return feedEvent(bench, {
    kind: "looked",
    worker,
    look: {
      bornMs: listed.bornMs ?? 1,
      running: listed.running ?? [],
      ended: listed.ended ?? [],
      sentAtMs: bench.nowMs,
    },
  });
}

/** A run in a worker's list of running ones. */
export function running(
  task: string,
  attempt: number,
  changes: Partial<ListedRun> = {},
): ListedRun {
  return { task, attempt, checkpoint: "", percent: 1, reading: 0, ...changes };
}

/** A run in a worker's list of ends. */
export function ended(
  number: number,
  task: string,
  attempt: number,
  end: EndedRun["end"],
): EndedRun {
  return { number, task, attempt, end, checkpoint: "" };
}

/** The starts among commands. */
export function startsIn(
  commands: DomainCommand[],
): Extract<WorkerOrder, { kind: "start" }>[] {
  return commands.flatMap((command) =>
    command.kind === "order" && command.order.kind === "start"
      ? [command.order]
      : []
  );
}

/** The stops among commands. */
export function stopsIn(
  commands: DomainCommand[],
): Extract<WorkerOrder, { kind: "stop" }>[] {
  return commands.flatMap((command) =>
    command.kind === "order" && command.order.kind === "stop"
      ? [command.order]
      : []
  );
}
