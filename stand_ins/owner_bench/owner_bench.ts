/**
 * Measures the processor time that the owner of a domain spends per task
 * start. Runs real daemon processes against the stand-ins for the platform.
 *
 * @module
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { Pool, request } from "undici";
import { findFreePorts } from "../local_cluster/free_ports.ts";
import {
  type Daemon,
  PORTS_PER_DAEMON,
  startDaemon,
} from "../platform/daemon.ts";
import { findOwner } from "../platform/deployment.ts";
import { type Platform, startPlatform } from "../platform/platform.ts";
import {
  buildConfiguration,
  buildSubmissionBody,
  buildWorkerConfigs,
  JOB_KINDS,
  type JobKind,
  jobRequestOptions,
  parseDurationMs,
} from "./bench_load.ts";

const INSTANCES = 6;
const PARTITIONS = 2;
const WARM_UP_MS = 5_000;
const POLL_INTERVAL_MS = 50;
/** Time after the kill of an owner in which its successor is measured. */
const TAKEOVER_MS = 4_000;
const MS_PER_S = 1_000;
/** Unit of processor time in `/proc` (USER_HZ of 100). */
const CPU_TICK_MS = 10;
/** Positions of user and system time after the name in `/proc/PID/stat`. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const ADVICE = {
  decideMs: 2,
  perWorkerMs: 0.02,
  validMs: 2_000,
  refuseOneIn: 3,
};

/** Options for `benchOwner`. */
export type OwnerBenchOptions = {
  /** Path of the bundled daemon. */
  daemon: string;
  workers: number;
  /** Duration of the measurement, after the warm-up. */
  seconds: number;
  /** Multiplier of the submission rates. */
  loadFactor: number;
  /** Whether the owner is killed after the measurement, and its successor measured. */
  takesOver?: boolean;
  /** Folder for CPU profiles of the instances; none are taken if absent. */
  profileFolder?: string;
  /** Folder for the logs of the instances; none are kept if absent. */
  logFolder?: string;
};

/** Result of a measurement. */
export type OwnerCost = {
  /** Task starts on all workers. */
  starts: number;
  /** Processor time of the owner per start, in milliseconds. */
  cpuPerStartMs: number;
  /** Average number of processor cores that the owner used. */
  cores: number;
  accepted: number;
  refused: number;
  /** Median time from submission to the first start, in milliseconds. */
  medianStartMs: number;
  /** The cost of the successor, if the owner was killed. */
  takeover?: TakeoverCost;
};

/** What a takeover costs the new owner, in the time after the kill. */
export type TakeoverCost = {
  /** Average number of processor cores that the new owner used. */
  cores: number;
  /** Task starts on all workers. */
  starts: number;
  /** Calls for the earlier owner that workers refused. */
  refusedByWorkers: number;
  accepted: number;
  refused: number;
};

type LoadCounters = {
  accepted: number;
  refused: number;
  /** Submission time by job id, in milliseconds since the epoch. */
  submittedAtMs: Map<string, number>;
};

/**
 * Measures one daemon build under the load.
 *
 * @example
 * ```ts
 * const cost = await benchOwner({
 *   daemon,
 *   workers: 350,
 *   seconds: 15,
 *   loadFactor: 1,
 * });
 * ```
 */
export async function benchOwner(
  options: OwnerBenchOptions,
): Promise<OwnerCost> {
  const folder = mkdtempSync(join(tmpdir(), "samphirestage-"));
  const platform = await startPlatform({
    partitions: PARTITIONS,
    workers: buildWorkerConfigs(options.workers),
    durationMs: parseDurationMs,
    configuration: buildConfiguration(JOB_KINDS),
    advice: ADVICE,
  });
  const ports = await findFreePorts(INSTANCES * PORTS_PER_DAEMON);
  const instances = Array.from({ length: INSTANCES }, (_, index) => {
    const first = index * PORTS_PER_DAEMON;
    const { profileFolder, logFolder } = options;
    return startDaemon({
      program: options.daemon,
      folder,
      number: index,
      ports: ports.slice(first, first + PORTS_PER_DAEMON),
      store: platform.address,
      partitions: PARTITIONS,
      advice: platform.adviceAddress,
      ...(profileFolder === undefined ? {} : {
        nodeArguments: ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`],
      }),
      ...(logFolder === undefined
        ? {}
        : { log: join(logFolder, `${index}.log`) }),
    });
  });
  try {
    const owner = await waitForOwner(platform, instances);
    return await measure(options, platform, instances, owner);
  } finally {
    for (const { child } of instances) child.kill("SIGTERM");
    await Promise.all(
      instances.map(({ child }) =>
        child.signalCode !== null ||
        new Promise((resolve) => child.once("close", resolve))
      ),
    );
    platform.close();
    rmSync(folder, { recursive: true, force: true });
  }
}

async function measure(
  options: OwnerBenchOptions,
  platform: Platform,
  instances: Daemon[],
  owner: Daemon,
): Promise<OwnerCost> {
  const loadController = new AbortController();
  const counters: LoadCounters = {
    accepted: 0,
    refused: 0,
    submittedAtMs: new Map(),
  };
  const entries = instances.filter((instance) => instance !== owner);
  const pools = entries.map(({ url }) => new Pool(url, { connections: 64 }));
  const loads = JOB_KINDS.map((kind, index) =>
    submitJobs(
      kind,
      options.loadFactor,
      pools,
      counters,
      index,
      loadController.signal,
    )
  );
  await delay(WARM_UP_MS);
  const startsBefore = countStarts(platform);
  const cpuBefore = readCpuMs(owner);
  await delay(options.seconds * MS_PER_S);
  const cpuMs = readCpuMs(owner) - cpuBefore;
  const starts = countStarts(platform) - startsBefore;
  const takeover = options.takesOver === true
    ? await measureTakeover(platform, instances, owner, counters)
    : undefined;
  loadController.abort();
  await Promise.all(loads);
  await Promise.all(pools.map((pool) => pool.destroy()));
  return {
    starts,
    cpuPerStartMs: cpuMs / Math.max(1, starts),
    cores: cpuMs / (options.seconds * MS_PER_S),
    accepted: counters.accepted,
    refused: counters.refused,
    medianStartMs: medianStartMs(platform, counters),
    ...(takeover === undefined ? {} : { takeover }),
  };
}

/** Kills the owner, and measures the instance that takes its domains over. */
async function measureTakeover(
  platform: Platform,
  instances: Daemon[],
  owner: Daemon,
  counters: LoadCounters,
): Promise<TakeoverCost> {
  const others = instances.filter((instance) => instance !== owner);
  const cpuBefore = new Map(others.map((one) => [one, readCpuMs(one)]));
  const startsBefore = countStarts(platform);
  const refusedBefore = countRefusedAsFenced(platform);
  const { accepted, refused } = counters;
  owner.child.kill("SIGKILL");
  await delay(TAKEOVER_MS);
  const successor = findOwner(platform, others);
  if (successor === undefined) throw new Error("no instance has taken over");
  const cpuMs = readCpuMs(successor) - (cpuBefore.get(successor) ?? 0);
  return {
    cores: cpuMs / TAKEOVER_MS,
    starts: countStarts(platform) - startsBefore,
    refusedByWorkers: countRefusedAsFenced(platform) - refusedBefore,
    accepted: counters.accepted - accepted,
    refused: counters.refused - refused,
  };
}

/** Submits jobs of one kind at a fixed rate, without awaiting responses. */
async function submitJobs(
  kind: JobKind,
  loadFactor: number,
  pools: Pool[],
  counters: LoadCounters,
  kindNumber: number,
  signal: AbortSignal,
): Promise<void> {
  const body = buildSubmissionBody(kind);
  const intervalMs = MS_PER_S / (kind.ratePerSecond * loadFactor);
  const startedAtMs = performance.now();
  for (let index = 0; !signal.aborted; index += 1) {
    const delayMs = startedAtMs + index * intervalMs - performance.now();
    if (delayMs > 0) await delay(delayMs);
    const id = `${kindNumber}${index.toString(16).padStart(15, "0")}`;
    counters.submittedAtMs.set(id, Date.now());
    submitJob(pools[index % pools.length]!, kind, id, body, counters);
  }
}

async function submitJob(
  pool: Pool,
  kind: JobKind,
  id: string,
  body: string,
  counters: LoadCounters,
): Promise<void> {
  try {
    const response = await pool.request({
      method: "POST",
      ...jobRequestOptions(kind, id),
      body,
    });
    await response.body.dump();
    if (response.statusCode === 200) counters.accepted += 1;
    else counters.refused += 1;
  } catch {
    // The instance is stopping or overloaded.
    counters.refused += 1;
  }
}

function countStarts({ workers }: Platform): number {
  return workers.reduce((sum, { started }) => sum + started.length, 0);
}

function countRefusedAsFenced({ workers }: Platform): number {
  return workers.reduce((sum, worker) => sum + worker.refusedAsFenced, 0);
}

function medianStartMs({ workers }: Platform, counters: LoadCounters): number {
  const firstStartMs = new Map<string, number>();
  for (const { started } of workers) {
    for (const { task, startedAtMs } of started) {
      const [job = ""] = task.split(".");
      firstStartMs.set(
        job,
        Math.min(firstStartMs.get(job) ?? Infinity, startedAtMs),
      );
    }
  }
  const waitsMs = [...firstStartMs]
    .map(([job, atMs]) => atMs - (counters.submittedAtMs.get(job) ?? atMs))
    .sort((left, right) => left - right);
  return waitsMs[Math.floor(waitsMs.length / 2)] ?? 0;
}

/** Processor time that a process has used, in milliseconds. */
function readCpuMs({ child }: Daemon): number {
  const text = readFileSync(`/proc/${child.pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[SYSTEM_TIME_FIELD]);
  return ticks * CPU_TICK_MS;
}

/** Waits until an instance owns the domains and all instances respond. */
async function waitForOwner(
  platform: Platform,
  instances: Daemon[],
): Promise<Daemon> {
  while (true) {
    await delay(POLL_INTERVAL_MS);
    const owner = findOwner(platform, instances);
    if (owner === undefined) continue;
    const statuses = await Promise.all(instances.map(requestStatus));
    if (statuses.every((status) => status === 200)) return owner;
  }
}

async function requestStatus({ url }: Daemon): Promise<number> {
  try {
    const kind = JOB_KINDS[0]!;
    const { path, headers } = jobRequestOptions(kind, "");
    const { statusCode, body } = await request(url + path, { headers });
    await body.dump();
    return statusCode;
  } catch {
    // The process is still starting.
    return 0;
  }
}
