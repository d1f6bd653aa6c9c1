/**
 * Plays the submissions of client accounts on a domain under test, whose
 * workers run each task for its estimated duration.
 *
 * @module
 */
import type { ClientAccount } from "../../model/mod.ts";
import { type AdviceRequest, takeAdviceRequest } from "../advice_requests.ts";
import type { Step } from "../job.ts";
import {
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  policy,
  reportFrom,
  running,
  simulateTakeover,
  tick,
} from "./domain_bench.ts";

const STEP_MS = 20;
/** How the policy answers, if workers require its tickets. */
const ADVICE = { decideMs: 120, perWorkerMs: 1, validMs: 2_000 };
const ADVICE_LANES = 8;

/** A steady stream of jobs of one account. */
export type Stream = {
  account: string | undefined;
  perSecond: number;
  fromMs: number;
  toMs: number;
  step: Step;
  priority?: number;
  mayRefuse?: boolean;
  needsAdvice?: boolean;
};

/** How the jobs of an account fared. */
export type Tally = {
  /** Jobs within its rate, and those that met their objective. */
  owed: number;
  onTime: number;
  /** Of them, those that were done while their results were useful. */
  useful: number;
  /** Accepted jobs beyond its rate, and those done in useful time. */
  beyond: number;
  beyondUseful: number;
  refused: number;
  retryAfterMs: number[];
};

/** A domain with its load so far. */
export type AccountLoad = {
  bench: DomainBench;
  workers: string[];
  /** The running tasks, by worker and name. */
  runs: Map<string, Map<string, { attempt: number; endMs: number }>>;
  /** Workers that fail every n-th task as soon as it starts, with this n. */
  failingWorkers: Map<string, number>;
  endCounts: Map<string, number>;
  adviceInFlight: { request: AdviceRequest; dueAtMs: number }[];
  submissions: {
    id: string;
    account: string;
    atMs: number;
    step: Step;
    priority: number;
    call: number;
  }[];
};

/** Creates a domain with workers of 8 cores, and accounts with weights. */
export function createAccountLoad(
  workerCount: number,
  weights: Record<string, number>,
): AccountLoad {
  const bench = createBench();
  const workers = Array.from({ length: workerCount }, (_, i) => `w${i}`);
  listWorkers(bench, ...workers.map((id) => listing(id)));
  configureAccounts(bench, weights);
  return {
    bench,
    workers,
    runs: new Map(workers.map((id) => [id, new Map()])),
    failingWorkers: new Map(),
    endCounts: new Map(),
    adviceInFlight: [],
    submissions: [],
  };
}

/** Applies the accounts of a configuration. */
export function configureAccounts(
  bench: DomainBench,
  weights: Record<string, number>,
): void {
  const cap = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  const accounts = Object.entries(weights).map(([name, weight]) => (
    { name, weight, keys: [], priority: 0, cap } satisfies ClientAccount
  ));
  if (accounts.length > 0) {
    feedEvent(bench, { kind: "accountsConfigured", accounts });
  }
}

/** Plays streams until a time, in milliseconds from the start. */
export function play(
  load: AccountLoad,
  streams: Stream[],
  untilMs: number,
): void {
  const { bench } = load;
  while (bench.nowMs < untilMs) {
    const beforeMs = bench.nowMs;
    tick(bench, STEP_MS);
    for (const worker of load.workers) reportWorker(load, worker);
    streams.forEach((stream) => submitDue(load, stream, beforeMs));
    answerAdvice(load);
    trackStarts(load);
  }
}

/** Replaces the owner; its workers report what they run. */
export function takeOver(load: AccountLoad, weights: Record<string, number>) {
  const { bench, workers } = load;
  simulateTakeover(bench);
  configureAccounts(bench, weights);
  listWorkersAgain(bench, workers);
  for (const worker of workers) reportWorker(load, worker, true);
}

function listWorkersAgain(bench: DomainBench, workers: string[]): void {
  const listings = workers.map((id) => listing(id));
  feedEvent(bench, { kind: "workersListed", workers: listings });
}

function submitDue(load: AccountLoad, stream: Stream, beforeMs: number): void {
  const { bench, submissions } = load;
  const countUntil = (atMs: number) => {
    const elapsedMs = Math.min(atMs, stream.toMs) - stream.fromMs;
    return Math.max(0, Math.ceil(elapsedMs * stream.perSecond / 1_000));
  };
  const due = countUntil(bench.nowMs) - countUntil(beforeMs);
  for (let index = 0; index < due; index += 1) {
    const id = `j${submissions.length}`;
    const { account = "", step, priority = 0 } = stream;
    const call = bench.nextCall;
    const atMs = bench.nowMs;
    submissions.push({ id, account, atMs, step, priority, call });
    submitJob(load, id, stream);
  }
}

/** Submits a job of a stream, perhaps again. */
export function submitJob(
  { bench }: AccountLoad,
  id: string,
  { account, step, priority = 0, mayRefuse = true, needsAdvice }: Stream,
): void {
  feedEvent(bench, {
    kind: "submitted",
    call: bench.nextCall++,
    request: { id, specification: "", steps: [step] },
    policy: policy({
      priority,
      queue: `queue-${priority}`,
      ...(account === undefined ? {} : { clientAccount: account }),
      ...(needsAdvice === true ? { advice: ADVICE } : {}),
    }),
    mayRefuse,
  });
}

/** Sends the requests of the domain to a policy that allows every worker. */
function answerAdvice(load: AccountLoad): void {
  const { bench } = load;
  const isDue = ({ dueAtMs }: { dueAtMs: number }) => dueAtMs <= bench.nowMs;
  for (const { request } of load.adviceInFlight.filter(isDue)) {
    feedEvent(bench, {
      kind: "advised",
      stepKey: request.stepKey,
      namedWorkers: request.workers,
      allowed: request.workers.map((id): [string, string] => [id, "ticket"]),
      validMs: ADVICE.validMs,
    });
  }
  load.adviceInFlight = load.adviceInFlight.filter((each) => !isDue(each));
  const moment = { steadyMs: bench.nowMs, wallMs: bench.nowMs };
  while (load.adviceInFlight.length < ADVICE_LANES) {
    const request = takeAdviceRequest(bench.domain, moment, Infinity);
    if (request === undefined) return;
    const dueAtMs = bench.nowMs + request.costMs;
    load.adviceInFlight.push({ request, dueAtMs });
  }
}

/** Notes when the tasks that the domain has placed will end. */
function trackStarts({ bench, runs }: AccountLoad): void {
  for (const [worker, tasks] of runs) {
    for (const [name, ref] of bench.domain.workers.get(worker)!.placed) {
      const { attempt } = ref.run.tasks[ref.index]!;
      if (tasks.get(name)?.attempt === attempt) continue;
      const endMs = bench.nowMs + ref.run.step.estimateMs;
      tasks.set(name, { attempt, endMs });
    }
  }
}

function reportWorker(load: AccountLoad, worker: string, always = false): void {
  const { bench, runs, endCounts, failingWorkers } = load;
  const tasks = runs.get(worker)!;
  let number = endCounts.get(worker) ?? 0;
  const failEvery = failingWorkers.get(worker);
  const endedRuns = [...tasks].flatMap(([name, { attempt, endMs }]) => {
    const fails = failEvery !== undefined && (number + 1) % failEvery === 0;
    if (!fails && endMs > bench.nowMs) return [];
    tasks.delete(name);
    return [ended(++number, name, attempt, fails ? "failed" : "done")];
  });
  if (endedRuns.length === 0 && !always) return;
  endCounts.set(worker, number);
  const listed = [...tasks].map(([name, { attempt }]) =>
    running(name, attempt)
  );
  reportFrom(bench, worker, { running: listed, ended: endedRuns });
  trackStarts(load);
}

/** Sums up the jobs of an account that came in a period. */
export function tally(
  { bench, submissions }: AccountLoad,
  account: string,
  fromMs = 0,
  toMs = Infinity,
): Tally {
  const sum: Tally = {
    owed: 0,
    onTime: 0,
    useful: 0,
    beyond: 0,
    beyondUseful: 0,
    refused: 0,
    retryAfterMs: [],
  };
  const retryDelays = new Map(
    bench.commands.flatMap((command) =>
      command.kind === "answer" && command.answer.kind === "overloaded"
        ? [[command.call, command.answer.retryAfterMs] as const]
        : []
    ),
  );
  for (const { id, account: owner, atMs, step, call } of submissions) {
    if (owner !== account || atMs < fromMs || atMs >= toMs) continue;
    const retryAfterMs = retryDelays.get(call);
    if (retryAfterMs !== undefined) {
      sum.refused += 1;
      sum.retryAfterMs.push(retryAfterMs);
      continue;
    }
    const { job } = bench.domain.jobs.get(id)!;
    const { slackFactor, targetCompletionMs } = job.policy;
    const objectiveMs = slackFactor * step.estimateMs + targetCompletionMs;
    const isDone = job.outcome === "completed";
    const tookMs = isDone ? job.endedAtMs! - job.acceptedAtMs : Infinity;
    const isUseful = tookMs <= 3 * objectiveMs;
    if (job.isBeyondRate === true) {
      sum.beyond += 1;
      if (isUseful) sum.beyondUseful += 1;
      continue;
    }
    sum.owed += 1;
    if (tookMs <= objectiveMs) sum.onTime += 1;
    if (isUseful) sum.useful += 1;
  }
  return sum;
}
