import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { NO_VERSION } from "../../src/manifest/mod.ts";
import type { Manifest } from "../../src/model/mod.ts";
import {
  type Platform,
  startPlatform,
  type WorkerConfig,
} from "../platform/platform.ts";
import { findFreePorts } from "./free_ports.ts";
import { createJsonClient, type JsonClient } from "./json_client.ts";
import {
  apiUrl,
  formatInstanceSettings,
  type InstanceConfig,
  MAX_LEASE_MS,
  readinessUrl,
} from "./instance_settings.ts";
import { endProgram, type Program, startProgram } from "./program.ts";
import { isDeadlyTask, taskDurationMs } from "./task_payload.ts";

const POLL_INTERVAL_MS = 50;
const START_TIMEOUT_MS = 60_000;
const STOP_GRACE_MS = 20_000;
const PARTITIONS = 2;
const PORTS_PER_INSTANCE = 5;
const OK = 200;
const OPERATOR_TOKEN = "operator-token-of-the-local-cluster";
const DAEMON_PATH = fileURLToPath(
  new URL("../../platform/samphirestaged.js", import.meta.url),
);

/** Options for `startLocalCluster`. */
export type LocalClusterOptions = {
  region: string;
  zones: string[];
  instancesPerZone: number;
  workers: WorkerConfig[];
  manifest: Manifest;
  /** Bearer token by customer. */
  customers: Record<string, string>;
  /** Maps the store's listening address to the one an instance uses. */
  resolveStoreAddress?: (instance: string, address: string) => Promise<string>;
  /** Maps a worker's listening address to the address instances use. */
  resolveWorkerAddress?: (worker: string, address: string) => Promise<string>;
};

/** An entry instance that runs as a child process. */
export type LocalInstance = InstanceConfig & {
  url: string;
  program: Program;
  settingsPath: string;
  /** Output of the instance's earlier processes. */
  earlierOutput: string;
};

/** A running cluster on this machine. */
export type LocalCluster = {
  api: JsonClient;
  instances: LocalInstance[];
  /** The stand-ins for the platform, which run in this process. */
  platform: Platform;
  manifest: Manifest;
  operatorToken: string;
  /** Stops every process and deletes the settings files. */
  close(): Promise<void>;
};

/**
 * Starts the stand-ins and the entry instances, publishes the manifest and
 * waits until every instance is ready.
 *
 * @throws if an instance exits early or is not ready in time
 */
export async function startLocalCluster(
  options: LocalClusterOptions,
): Promise<LocalCluster> {
  const folder = mkdtempSync(join(tmpdir(), "samphirestage-"));
  const api = createJsonClient();
  const platform = await startPlatform({
    partitions: PARTITIONS,
    workers: options.workers,
    durationMs: taskDurationMs,
    isDeadly: (task, specification) => isDeadlyTask(specification, task),
    configuration: { version: 1, routes: [] },
    maxLeaseMs: MAX_LEASE_MS,
    ...(options.resolveWorkerAddress === undefined
      ? {}
      : { resolveWorkerAddress: options.resolveWorkerAddress }),
  });
  const instances: LocalInstance[] = [];
  const close = async () => {
    const programs = instances.map(({ program }) => program);
    await Promise.all(
      programs.map((program) => endProgram(program, STOP_GRACE_MS)),
    );
    platform.close();
    await api.close();
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    for (const config of await buildInstanceConfigs(options)) {
      instances.push(await startInstance(config, options, platform, folder));
    }
    await publishManifest(api, options.manifest, instances);
    for (const instance of instances) await waitUntilReady(api, instance);
    const operatorToken = OPERATOR_TOKEN;
    const { manifest } = options;
    return { api, instances, platform, manifest, operatorToken, close };
  } catch (error) {
    await close();
    throw error;
  }
}

/**
 * Polls until a condition holds.
 *
 * @param description what is awaited, for the error message
 * @param timeoutMs time limit, in milliseconds
 * @throws if the condition does not hold within the time limit
 */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!await condition()) {
    if (performance.now() > deadlineMs) {
      throw new Error(`Timed out: ${description}`);
    }
    await delay(POLL_INTERVAL_MS);
  }
}

/**
 * Configures every instance. All ports are chosen in one search, because a
 * process that does not listen yet does not occupy its ports.
 */
async function buildInstanceConfigs(
  options: LocalClusterOptions,
): Promise<InstanceConfig[]> {
  const { zones, instancesPerZone, region } = options;
  const count = zones.length * instancesPerZone;
  const freePorts = await findFreePorts(count * PORTS_PER_INSTANCE);
  return Array.from({ length: count }, (_, index) => {
    const zone = zones[index % zones.length]!;
    const number = Math.floor(index / zones.length) + 1;
    const firstPort = index * PORTS_PER_INSTANCE;
    const instancePorts = freePorts.slice(
      firstPort,
      firstPort + PORTS_PER_INSTANCE,
    );
    const [api = 0, callers = 0, readiness = 0, peers = 0, metrics = 0] =
      instancePorts;
    const ports = { api, callers, readiness, peers, metrics };
    return { id: `${zone}-${number}`, zone, region, ports };
  });
}

/** Restarts an instance whose process has exited, with the same settings. */
export function restartInstance(instance: LocalInstance): void {
  const { id, settingsPath } = instance;
  instance.earlierOutput += instance.program.output();
  instance.program = startProgram(id, DAEMON_PATH, [
    "--settings",
    settingsPath,
  ]);
}

async function startInstance(
  config: InstanceConfig,
  options: LocalClusterOptions,
  platform: Platform,
  folder: string,
): Promise<LocalInstance> {
  const settingsPath = join(folder, `${config.id}.ini`);
  const { address } = platform;
  const settings = formatInstanceSettings(config, {
    store: await options.resolveStoreAddress?.(config.id, address) ?? address,
    partitions: PARTITIONS,
    customers: options.customers,
    operatorToken: OPERATOR_TOKEN,
  });
  writeFileSync(settingsPath, settings);
  const program = startProgram(config.id, DAEMON_PATH, [
    "--settings",
    settingsPath,
  ]);
  const url = apiUrl(config);
  return { ...config, url, program, settingsPath, earlierOutput: "" };
}

async function publishManifest(
  api: JsonClient,
  manifest: Manifest,
  instances: LocalInstance[],
): Promise<void> {
  const [first] = instances;
  if (first === undefined) return;
  const body = {
    changeId: "local-cluster-1",
    baseVersion: NO_VERSION,
    author: "local-cluster",
    manifest,
  };
  await waitUntil("the manifest is published", START_TIMEOUT_MS, async () => {
    assertRunning(first);
    const url = `${first.url}/v1/operator/manifest`;
    const reply = await api.call("POST", url, { token: OPERATOR_TOKEN, body });
    return reply.kind === "answered" && reply.status === OK;
  });
}

/**
 * Waits until the readiness probe of an instance succeeds.
 *
 * @throws if the instance exits or is not ready in time
 */
export async function waitUntilReady(
  api: JsonClient,
  instance: LocalInstance,
): Promise<void> {
  const url = readinessUrl(instance);
  await waitUntil(`${OK} at ${url}`, START_TIMEOUT_MS, async () => {
    assertRunning(instance);
    const reply = await api.call("GET", url);
    return reply.kind === "answered" && reply.status === OK;
  });
}

function assertRunning({ program }: LocalInstance): void {
  if (!program.hasExited()) return;
  throw new Error(`${program.name} ended:\n${program.output()}`);
}
