/**
 * A few schedulers on one simulated clock, joined by calls that can be lost,
 * late or repeated.
 *
 * @module
 */
import { createRandomness } from "../../clients/mod.ts";
import type { ListedInstance, Randomness } from "../../hosts/mod.ts";
import type { Instance } from "../../model/mod.ts";
import type { Call } from "../call.ts";
import {
  createScheduler,
  type Scheduler,
  type SchedulerEvent,
  type SchedulerOptions,
  step,
} from "../mod.ts";
import { createFakeWorker, type FakeWorker, START_MS } from "./fake_worker.ts";
import {
  appendEntry,
  createFakePlatform,
  type FakePlatform,
  publishList,
} from "./fake_platform.ts";
import { MANIFEST } from "./model_manifest.ts";
import {
  createModelChecks,
  type ModelChecks,
  type ModelRequest,
  violate,
} from "./model_checks.ts";
import { performEffect } from "./model_network.ts";
import {
  createTimerQueue,
  popTimer,
  pushTimer,
  type TimerQueue,
} from "./timer_queue.ts";

export { START_MS };

/** How long ago the first processes were started, in milliseconds. */
const EARLIER_MS = 60_000;

const OPTIONS: SchedulerOptions = {
  secret: "secret",
  seeds: [],
  spill: "cluster",
  preference: "waiting",
  heartbeatMs: 150,
  remoteHeartbeatMs: 300,
  deadAfterMs: 600,
  renewWaitMs: 150,
  leaseMarginMs: 100,
  listIntervalMs: 300,
  usageIntervalMs: 600_000,
  outcomeRetentionMs: 600_000,
  maxQueuedTasks: 50,
};

/** One process of an entry instance. */
export type ModelProcess = {
  instance: Instance;
  scheduler: Scheduler;
  alive: boolean;
  paused: boolean;
  /** What arrived while the process was paused. */
  backlog: (() => void)[];
  /** Who waits for the answer to a call. */
  answers: Map<number, (answer: unknown) => void>;
  nextCall: number;
  /** How old the instance list is that the process reads. */
  listLagMs: number;
  version: number;
};

/** Everything that a schedule drives. */
export type ModelCluster = {
  nowMs: number;
  timers: TimerQueue;
  randomness: Randomness;
  processes: ModelProcess[];
  workers: FakeWorker[];
  platform: FakePlatform;
  /** Directed cuts, each as `from>to`. */
  cuts: Set<string>;
  /** How many of a hundred calls fail in some way. */
  faultPercent: number;
  requests: ModelRequest[];
  checks: ModelChecks;
  /** Manifest in force by version, as text. */
  manifests: Map<number, string>;
  /** How many changes were accepted by the version they were built on. */
  accepted: Map<number, number>;
  nextIncarnation: number;
  nextChange: number;
};

/** Which instances and workers there are. */
export type ModelShape = { instances: string[]; workers: string[] };

/** Creates a cluster and lets it settle; names begin with their zone. */
export function createModelCluster(
  shape: ModelShape,
  seed: number,
): ModelCluster {
  const cluster: ModelCluster = {
    nowMs: 0,
    timers: createTimerQueue(),
    randomness: createRandomness(seed),
    processes: [],
    workers: shape.workers.map((id) => createFakeWorker(addressOf(id))),
    platform: createFakePlatform(),
    cuts: new Set(),
    faultPercent: 0,
    requests: [],
    checks: createModelChecks(),
    manifests: new Map(),
    accepted: new Map(),
    nextIncarnation: 1,
    nextChange: 1,
  };
  appendEntry(cluster.platform, {
    kind: "manifest",
    changeId: "first",
    baseVersion: -1,
    author: "pipeline",
    manifest: MANIFEST,
  }, START_MS);
  for (const id of shape.instances) addProcess(cluster, id, -EARLIER_MS);
  publish(cluster);
  for (const process of cluster.processes) {
    deliver(cluster, process, { kind: "started" });
  }
  runFor(cluster, BOOT_MS);
  return cluster;
}

const BOOT_MS = 1_500;

/** Ends a process without warning and starts the instance anew. */
export function restartProcess(cluster: ModelCluster, index: number): void {
  const before = cluster.processes[index]!;
  before.alive = false;
  const process = addProcess(cluster, before.instance.id, cluster.nowMs);
  cluster.processes.splice(index, 1, cluster.processes.pop()!);
  process.listLagMs = before.listLagMs;
  deliver(cluster, process, { kind: "started" });
}

/** Shows the instances and workers of now on the instance list. */
export function publish(cluster: ModelCluster): void {
  const instances: ListedInstance[] = cluster.processes
    .map(({ instance }) => ({
      id: instance.id,
      zone: instance.zone,
      region: instance.region,
      url: instance.url,
      leaving: false,
    }));
  const asOfMs = START_MS + cluster.nowMs;
  publishList(cluster.platform, instances, cluster.workers, asOfMs);
}

/** Adds a worker under a new name, up to a few. */
export function joinWorker(cluster: ModelCluster): void {
  const { length } = cluster.workers;
  if (length >= MAX_WORKERS) return;
  const zone = zoneOf(cluster.workers[0]!.address.id);
  cluster.workers.push(createFakeWorker(addressOf(`${zone}-w${length}`)));
  publish(cluster);
}

const MAX_WORKERS = 5;

/** Moves the clock on and runs what is due, until something is violated. */
export function runFor(cluster: ModelCluster, durationMs: number): void {
  const untilMs = cluster.nowMs + durationMs;
  while (cluster.checks.violations.length === 0) {
    const timer = popTimer(cluster.timers, untilMs);
    if (timer === undefined) break;
    cluster.nowMs = timer.atMs;
    timer.run();
  }
  cluster.nowMs = untilMs;
}

/** Runs something after a delay. */
export function later(
  cluster: ModelCluster,
  delayMs: number,
  run: () => void,
): void {
  pushTimer(cluster.timers, cluster.nowMs + delayMs, run);
}

/** Puts a call into a process. */
export function callProcess(
  cluster: ModelCluster,
  process: ModelProcess,
  call: Call,
  answered: (answer: unknown) => void,
): void {
  const id = process.nextCall++;
  process.answers.set(id, answered);
  deliver(cluster, process, { kind: "called", id, call });
}

/** Puts an event into a process, or into its backlog while it is paused. */
export function deliver(
  cluster: ModelCluster,
  process: ModelProcess,
  event: SchedulerEvent,
): void {
  if (!process.alive) return;
  if (process.paused) {
    process.backlog.push(() => deliver(cluster, process, event));
    return;
  }
  const steadyMs = EARLIER_MS + cluster.nowMs;
  const moment = { steadyMs, wallMs: START_MS + cluster.nowMs };
  for (const command of step(process.scheduler, event, moment)) {
    switch (command.kind) {
      case "perform": {
        const effect = command.number;
        performEffect(cluster, process, command.effect, (result) => {
          deliver(cluster, process, { kind: "completed", effect, result });
        });
        break;
      }
      case "abandon":
        break;
      case "answer": {
        const answered = process.answers.get(command.id);
        process.answers.delete(command.id);
        answered?.(command.answer);
        break;
      }
    }
  }
  checkVersion(cluster, process);
}

function addProcess(
  cluster: ModelCluster,
  id: string,
  startedMs: number,
): ModelProcess {
  const zone = zoneOf(id);
  const incarnation = `i${cluster.nextIncarnation++}`;
  const url = `http://${id}`;
  const instance = { id, incarnation, zone, region: "rwanda", url };
  const seed = cluster.randomness.integer(0, 2 ** 30);
  const process: ModelProcess = {
    instance,
    scheduler: createScheduler(instance, OPTIONS, createRandomness(seed), {
      steadyMs: EARLIER_MS + startedMs,
      wallMs: START_MS + startedMs,
    }),
    alive: true,
    paused: false,
    backlog: [],
    answers: new Map(),
    nextCall: 1,
    listLagMs: 0,
    version: -1,
  };
  cluster.processes.push(process);
  return process;
}

/** The configuration in force never goes back, and is the same everywhere. */
function checkVersion(cluster: ModelCluster, process: ModelProcess): void {
  const { version, manifest } = process.scheduler.log;
  if (version === process.version) return;
  if (version < process.version) {
    const { id } = process.instance;
    violate(cluster.checks, `${id} went back to version ${version}`);
  }
  process.version = version;
  const text = JSON.stringify(manifest);
  const known = cluster.manifests.get(version) ?? text;
  cluster.manifests.set(version, known);
  if (known !== text) violate(cluster.checks, `version ${version} differs`);
}

function addressOf(id: string) {
  const zone = zoneOf(id);
  return { id, url: `http://${id}`, zone, region: "rwanda", rack: id };
}

function zoneOf(id: string): string {
  return id.slice(0, id.indexOf("-"));
}
