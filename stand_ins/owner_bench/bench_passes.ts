/**
 * Measures the processor time of the passes of a domain that has a backlog, in
 * this process and without a network: settled, and after a takeover.
 *
 * @module
 */
import {
  applyDomainEvent,
  createDomain,
  type Domain,
  type DomainCommand,
  type DomainEvent,
  drainDirtyRecords,
  type QueuePolicy,
  recordCommitted,
  restoreDomain,
  scheduleDomain,
  takeAdviceRequest,
  type WorkerListing,
} from "../../src/domain/mod.ts";

type Step = Extract<
  DomainEvent,
  { kind: "submitted" }
>["request"]["steps"][number];

const START_WALL_MS = 1_780_000_000_000;
const PASSES = 20;
const PASS_INTERVAL_MS = 40;
const REQUESTS_PER_PASS = 4;
const ALLOWED_SHARE = 0.7;
const VALID_MS = 2_000;
/** Of the submissions, every n-th is a gang, wide, or a wide gang. */
const GANG_ONE_IN = 4;
const WIDE_ONE_IN = 10;
const WIDE_GANG_ONE_IN = 33;

/** Options for `benchPasses`. */
export type PassBenchOptions = {
  workers: number;
  /** Steps that wait for capacity. */
  backlog: number;
  /** Whether the domain was taken over with the backlog. */
  isRestored: boolean;
  /** Workers that do not report after the takeover. */
  unsettled: number;
};

/** Processor time, in milliseconds. */
export type PassCost = {
  passMs: number;
  /** Selecting the advice requests of a pass. */
  adviceMs: number;
  /** A report of one worker. */
  reportMs: number;
  submissionMs: number;
};

type Bench = { domain: Domain; nowMs: number; nextJob: number; draws: number };

/**
 * Measures a domain whose workers are full.
 *
 * @example
 * ```ts
 * benchPasses({ workers: 350, backlog: 500, isRestored: true, unsettled: 30 });
 * ```
 */
export function benchPasses(options: PassBenchOptions): PassCost {
  let bench: Bench = {
    domain: createDomain({ endedJobKeepMs: 120_000 }),
    nowMs: 0,
    nextJob: 0,
    draws: 1,
  };
  const listings = buildListings(options.workers);
  feed(bench, { kind: "workersListed", workers: listings });
  for (const { id } of listings) report(bench, id);
  fillWorkers(bench, listings.length);
  for (let index = 0; index < options.backlog; index += 1) submitNext(bench);
  if (options.isRestored) {
    bench = takeOver(bench);
    feed(bench, { kind: "workersListed", workers: listings });
    for (const { id } of listings.slice(options.unsettled)) report(bench, id);
  }
  return measure(bench, listings.slice(options.unsettled));
}

function measure(bench: Bench, listings: WorkerListing[]): PassCost {
  const cost = { passMs: 0, adviceMs: 0, reportMs: 0, submissionMs: 0 };
  for (let pass = 0; pass < PASSES; pass += 1) {
    bench.nowMs += PASS_INTERVAL_MS;
    cost.passMs += cpuMsOf(() => runPass(bench)) / PASSES;
    cost.adviceMs += cpuMsOf(() => answerRequests(bench)) / PASSES;
    const { id } = listings[pass % listings.length]!;
    cost.reportMs += cpuMsOf(() => report(bench, id)) / PASSES;
    cost.submissionMs += cpuMsOf(() => submitNext(bench)) / PASSES;
    commit(bench);
  }
  return cost;
}

function cpuMsOf(action: () => void): number {
  const before = process.cpuUsage();
  action();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
}

function momentOf({ nowMs }: Bench) {
  return { steadyMs: nowMs, wallMs: START_WALL_MS + nowMs };
}

function feed(bench: Bench, event: DomainEvent): DomainCommand[] {
  return applyDomainEvent(bench.domain, event, momentOf(bench));
}

function runPass(bench: Bench): void {
  scheduleDomain(bench.domain, momentOf(bench));
}

function commit({ domain }: Bench): Map<string, string> {
  const records = drainDirtyRecords(domain);
  recordCommitted(domain, records);
  return new Map(records.map(({ key, value }) => [key, value ?? ""]));
}

/** A domain restored from the records of all jobs and steps. */
function takeOver(bench: Bench): Bench {
  const { domain } = bench;
  for (const id of domain.jobs.keys()) domain.dirtyKeys.add(`job/${id}`);
  for (const key of domain.steps.keys()) domain.dirtyKeys.add(`step/${key}`);
  for (const id of domain.startPermits.keys()) {
    domain.dirtyKeys.add(`permit/${id}`);
  }
  const records = [...commit(bench)].map(([key, value]) => ({ key, value }));
  const restored = createDomain(domain.options);
  restoreDomain(restored, records, bench.nowMs);
  return { ...bench, domain: restored };
}

function buildListings(count: number): WorkerListing[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `worker-${index}`,
    service: "ledger",
    address: `10.0.0.1:${index}`,
    zone: "a",
    rack: `rack-${Math.floor(index / 8)}`,
    labels: [],
    capacity: { cpuMillis: 16_000, memoryMb: 32_000, accelerators: 0 },
    draining: false,
    bornMs: 1,
  }));
}

/** Reports that a worker runs what is placed on it. */
function report(bench: Bench, id: string): void {
  const worker = bench.domain.workers.get(id);
  const running = [...worker?.placed ?? []].flatMap(([task, ref]) => {
    const { attempt } = ref.run.tasks[ref.index]!;
    return [{ task, attempt, checkpoint: "", percent: 20, reading: 0 }];
  });
  feed(bench, {
    kind: "looked",
    worker: id,
    look: { bornMs: 1, running, ended: [], sentAtMs: bench.nowMs },
  });
}

/** Fills each worker with tasks of other work, so that nothing else fits. */
function fillWorkers(bench: Bench, workers: number): void {
  const step = buildStep(workers * 6, 2_600, 2_000);
  submit(bench, [step], {});
  runPass(bench);
  commit(bench);
}

function buildStep(taskCount: number, cpuMillis: number, estimateMs: number) {
  return {
    taskCount,
    demand: { cpuMillis, memoryMb: 4_000, accelerators: 0 },
    estimateMs,
    after: [],
    gang: false,
    colocated: false,
    longRunning: false,
    opportunistic: false,
    checkpointed: false,
  };
}

/** Submits the next job of the mix. */
function submitNext(bench: Bench): void {
  const index = bench.nextJob;
  const advice = { decideMs: 9, perWorkerMs: 0.13, validMs: VALID_MS };
  // Sizes vary, as they do where tasks are measured rather than typed.
  const cpuMillis = 1_200 + (index * 37) % 2_600;
  if (index % WIDE_GANG_ONE_IN === 1) {
    const wide = buildStep(20, cpuMillis + 2_000, 6_000);
    submit(bench, [{ ...wide, gang: true }], { advice, priority: 1 });
  } else if (index % WIDE_ONE_IN === 1) {
    submit(bench, [buildStep(25, cpuMillis, 2_200)], { advice, priority: 2 });
  } else {
    const gang = index % GANG_ONE_IN === 0;
    submit(bench, [{ ...buildStep(3, cpuMillis, 800), gang }], { advice });
  }
}

function submit(
  bench: Bench,
  steps: Step[],
  changes: Partial<QueuePolicy>,
): void {
  const id = `job${bench.nextJob}`;
  bench.nextJob += 1;
  const policy = {
    queue: `queue-${changes.priority ?? 0}`,
    service: "ledger",
    priority: 0,
    maxAttempts: 3,
    slackFactor: 1.5,
    targetCompletionMs: 400,
    ...changes,
  };
  const request = { id, specification: "", steps };
  feed(bench, { kind: "submitted", call: 1, request, policy });
}

/** Answers some advice requests; the policy allows most of the workers. */
function answerRequests(bench: Bench): void {
  for (let count = 0; count < REQUESTS_PER_PASS; count += 1) {
    const request = takeAdviceRequest(bench.domain, momentOf(bench), 120);
    if (request === undefined) return;
    const allowed = request.workers.filter(() => draw(bench) < ALLOWED_SHARE);
    feed(bench, {
      kind: "advised",
      stepKey: request.stepKey,
      namedWorkers: request.workers,
      allowed: allowed.map((worker) => [worker, "ticket"]),
      validMs: VALID_MS,
    });
  }
}

/** A number from 0 to 1 out of a linear congruential sequence. */
function draw(bench: Bench): number {
  bench.draws = (bench.draws * 16_807) % 2_147_483_647;
  return bench.draws / 2_147_483_647;
}
