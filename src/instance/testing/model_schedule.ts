/**
 * Schedules of calls and failures, and how each step acts on the cluster.
 *
 * @module
 */
import * as fc from "fast-check";
import {
  AGREEMENT,
  CUSTOMER,
  LONG_WORK,
  MANIFEST,
  WORK_NAMES,
} from "./model_manifest.ts";
import type { Submission } from "../../model/mod.ts";
import type { CallAnswer } from "../view.ts";
import { killWorker, rebootWorker } from "./fake_worker.ts";
import { checkAnswer, type ModelRequest, violate } from "./model_checks.ts";
import {
  callProcess,
  createModelCluster,
  deliver,
  joinWorker,
  type ModelCluster,
  type ModelProcess,
  type ModelShape,
  publish,
  restartProcess,
  runFor,
  START_MS,
} from "./model_cluster.ts";
import { PLATFORM } from "./model_network.ts";

/** The kinds of steps; calls stand more often than failures. */
export const STEP_KINDS = [
  "order",
  "order",
  "order",
  "retry",
  "retry",
  "read",
  "read",
  "cancel",
  "faults",
  "cut",
  "cutOff",
  "cutWorker",
  "cutPlatform",
  "heal",
  "pause",
  "resume",
  "restart",
  "workerDie",
  "workerLeave",
  "workerJoin",
  "logDown",
  "lag",
  "race",
  "drain",
] as const;

/** The same, with workers that restart under their old name. */
export const STEP_KINDS_WITH_RESTARTS = [
  ...STEP_KINDS,
  "workerRestart",
  "workerRestart",
] as const;

type StepKind = typeof STEP_KINDS_WITH_RESTARTS[number];

/** One step; the numbers choose instances, workers and the like. */
export type ModelStep = {
  kind: StepKind;
  a: number;
  b: number;
  /** How long the clock runs after the step, in milliseconds. */
  thenMs: number;
};

/** A schedule. */
export type ModelSchedule = {
  shape: ModelShape;
  seed: number;
  steps: ModelStep[];
};

/** Three instances in one zone. */
export const ONE_ZONE: ModelShape = {
  instances: ["kigali-a", "kigali-b", "kigali-c"],
  workers: ["kigali-w0", "kigali-w1", "kigali-w2"],
};
/** Two instances in one zone, one in another. */
export const TWO_ZONES: ModelShape = {
  instances: ["kigali-a", "kigali-b", "huye-a"],
  workers: ["kigali-w0", "kigali-w1", "huye-w0"],
};
const FAULT_PERCENTS = [0, 3, 10, 30];
const LIST_LAGS_MS = [0, 400, 2_000];
/** Longest wait of a submission or read for its outcome. */
const MAX_WAIT_MS = 800;

/** Generates schedules of some kinds of steps. */
export function arbitrarySchedule(
  kinds: readonly StepKind[],
): fc.Arbitrary<ModelSchedule> {
  return fc.record({
    shape: fc.constantFrom(ONE_ZONE, ONE_ZONE, TWO_ZONES),
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    steps: fc.array(
      fc.record({
        kind: fc.constantFrom(...kinds),
        a: fc.nat({ max: 5 }),
        b: fc.nat({ max: 11 }),
        thenMs: fc.constantFrom(0, 5, 30, 200, 700),
      }),
      { minLength: 4, maxLength: 24, size: "max" },
    ),
  });
}

/** Runs a schedule, and returns the cluster as it was at the end. */
export function runSchedule(schedule: ModelSchedule): ModelCluster {
  const cluster = createModelCluster(schedule.shape, schedule.seed);
  for (const step of schedule.steps) {
    if (cluster.checks.violations.length > 0) break;
    runStep(cluster, step);
    runFor(cluster, step.thenMs);
  }
  readAll(cluster);
  return cluster;
}

/** Asks for every request once more, at every instance. */
function readAll(cluster: ModelCluster): void {
  for (const process of cluster.processes) {
    for (const request of cluster.requests) read(cluster, process, request);
  }
  runFor(cluster, LAST_MS);
}

const LAST_MS = 1_000;
/** The number of an order that runs for long. */
const LONG_ORDER = 11;

function runStep(cluster: ModelCluster, step: ModelStep): void {
  const { a, b } = step;
  const index = a % cluster.processes.length;
  const process = cluster.processes[index]!;
  const worker = cluster.workers[b % cluster.workers.length]!;
  const request = cluster.requests[b % Math.max(1, cluster.requests.length)];
  const others = cluster.processes.filter((each) => each !== process);
  const other = others[b % others.length]!;
  switch (step.kind) {
    case "order":
      return order(cluster, process, a, b);
    case "retry":
      return request && submit(cluster, process, request);
    case "read":
      return request && read(cluster, process, request);
    case "cancel":
      return request && cancel(cluster, process, request);
    case "faults":
      cluster.faultPercent = FAULT_PERCENTS[b % FAULT_PERCENTS.length]!;
      return;
    case "cut":
      return cut(cluster, process.instance.id, other.instance.id, b > 3);
    case "cutOff":
      for (const each of others) {
        cut(cluster, process.instance.id, each.instance.id, b > 3);
      }
      return;
    case "cutWorker":
      return cut(cluster, process.instance.id, worker.address.id, b > 3);
    case "cutPlatform":
      return cut(cluster, process.instance.id, PLATFORM, true);
    case "heal":
      return cluster.cuts.clear();
    case "pause":
      process.paused = true;
      return;
    case "resume":
      for (const each of cluster.processes) resume(each);
      return;
    case "restart":
      return restartProcess(cluster, index);
    case "workerDie":
      return killWorker(worker, cluster.nowMs);
    case "workerRestart":
      killWorker(worker, cluster.nowMs);
      return rebootWorker(worker, START_MS + cluster.nowMs);
    case "workerLeave":
      worker.leaving = true;
      if (b >= 6) killWorker(worker, cluster.nowMs);
      if (b >= 6) worker.listed = false;
      return publish(cluster);
    case "workerJoin":
      return joinWorker(cluster);
    case "logDown":
      cluster.platform.logDown = !cluster.platform.logDown;
      return;
    case "lag":
      process.listLagMs = LIST_LAGS_MS[b % LIST_LAGS_MS.length]!;
      return;
    case "race":
      return race(cluster, process, other, b);
    case "drain":
      return deliver(cluster, process, { kind: "draining" });
  }
}

function order(
  cluster: ModelCluster,
  process: ModelProcess,
  a: number,
  b: number,
): void {
  callProcess(
    cluster,
    process,
    { kind: "issue", customer: CUSTOMER },
    (raw) => {
      const answer = raw as CallAnswer;
      if (answer.kind !== "issued") return;
      const work = b === LONG_ORDER
        ? LONG_WORK
        : WORK_NAMES[b % WORK_NAMES.length]!;
      const count = work === "gang" ? 2 : 1 + b % 3;
      const request = { id: answer.id, work, count, submissions: 0 };
      cluster.requests.push(request);
      // Some are submitted elsewhere than they were issued.
      const target = cluster.processes[(a + (b > 8 ? 1 : 0)) % 3]!;
      submit(cluster, target, request);
    },
  );
}

function submit(
  cluster: ModelCluster,
  process: ModelProcess,
  request: ModelRequest,
): void {
  request.submissions++;
  const submission: Submission = {
    agreement: AGREEMENT,
    work: request.work,
    tasks: Array.from({ length: request.count }, (_, index) => ({
      payload: { index },
    })),
  };
  const call = {
    kind: "submit" as const,
    customer: CUSTOMER,
    requestId: request.id,
    submission,
    waitMs: MAX_WAIT_MS,
  };
  callProcess(
    cluster,
    process,
    call,
    (answer) => checkAnswer(cluster.checks, request, answer as CallAnswer),
  );
}

function read(
  cluster: ModelCluster,
  process: ModelProcess,
  request: ModelRequest,
): void {
  const { id: requestId } = request;
  const waitMs = MAX_WAIT_MS;
  const call = { kind: "read" as const, customer: CUSTOMER, requestId, waitMs };
  callProcess(
    cluster,
    process,
    call,
    (answer) => checkAnswer(cluster.checks, request, answer as CallAnswer),
  );
}

function cancel(
  cluster: ModelCluster,
  process: ModelProcess,
  request: ModelRequest,
): void {
  const { id: requestId } = request;
  const call = { kind: "cancel" as const, customer: CUSTOMER, requestId };
  callProcess(
    cluster,
    process,
    call,
    (answer) => checkAnswer(cluster.checks, request, answer as CallAnswer),
  );
}

function cut(
  cluster: ModelCluster,
  from: string,
  to: string,
  bothWays: boolean,
): void {
  cluster.cuts.add(`${from}>${to}`);
  if (bothWays) cluster.cuts.add(`${to}>${from}`);
}

function resume(process: ModelProcess): void {
  if (!process.paused) return;
  process.paused = false;
  for (const run of process.backlog.splice(0)) run();
}

/** Two operators publish on top of the same version at once. */
function race(
  cluster: ModelCluster,
  first: ModelProcess,
  second: ModelProcess,
  b: number,
): void {
  const baseVersion = first.scheduler.log.version;
  [first, second].forEach((process, number) => {
    const changeId = `change-${cluster.nextChange++}`;
    const manifest = {
      ...MANIFEST,
      customers: [...MANIFEST.customers, { name: `${changeId}-${b}` }],
    };
    const call = {
      kind: "publish" as const,
      author: `operator-${number}`,
      changeId,
      baseVersion,
      manifest,
    };
    callProcess(cluster, process, call, (answer) => {
      if ((answer as CallAnswer).kind !== "published") return;
      const accepted = (cluster.accepted.get(baseVersion) ?? 0) + 1;
      cluster.accepted.set(baseVersion, accepted);
      if (accepted > 1) {
        violate(cluster.checks, `two changes of ${baseVersion} were accepted`);
      }
    });
  });
}
