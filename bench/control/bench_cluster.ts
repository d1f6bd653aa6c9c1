/**
 * A cluster of stand-ins and of one build of the daemon, on 127.0.0.1.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import * as v from "valibot";
import type { Manifest } from "../../src/model/mod.ts";
import { findFreePorts } from "../../stand_ins/local_cluster/free_ports.ts";
import {
  type InstancePlan,
  instanceSettings,
  urlOf,
} from "../../stand_ins/local_cluster/instance_settings.ts";
import {
  createHttpApi,
  type HttpApi,
} from "../../stand_ins/local_cluster/mod.ts";
import type { StandInConfig } from "../../stand_ins/stand_in_config.ts";
import type { DaemonBuild } from "./daemon_build.ts";
import { benchManifest, CUSTOMER, TOKEN } from "./bench_manifest.ts";

const REGION = "region-1";
const OPERATOR_TOKEN = "operator-token-of-the-bench";
const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 100;
const STOP_GRACE_MS = 15_000;
const LEASE_MS = 6_000;
const STAND_INS = fileURLToPath(
  new URL("../../stand_ins/main.js", import.meta.url),
);

const readySchema = v.object({ log: v.string(), instanceList: v.string() });

/** How large a cluster is. */
export type BenchSize = {
  zones: number;
  instancesPerZone: number;
  workersPerZone: number;
};

/** An entry instance under measurement. */
export type BenchInstance = InstancePlan & { url: string; pid: number };

/** A cluster under measurement. */
export type BenchCluster = {
  api: HttpApi;
  logUrl: string;
  instances: BenchInstance[];
  /** Publishes a manifest on top of a version and returns the new version. */
  publish(manifest: Manifest, baseVersion: number): Promise<number>;
  close(): Promise<void>;
};

/** Starts a cluster and waits until every instance is ready. */
export async function startBenchCluster(
  build: DaemonBuild,
  size: BenchSize,
): Promise<BenchCluster> {
  const folder = mkdtempSync(join(tmpdir(), "samphirestage-bench-"));
  const children: ChildProcess[] = [];
  const api = createHttpApi();
  const close = async () => {
    await Promise.all(children.toReversed().map(endChild));
    await api.close();
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    const plans = await planInstances(size);
    const standIns = start([STAND_INS], ["--config", writeConfig()]);
    children.push(standIns);
    const ready = await readReadyLine(standIns);
    const instances = plans.map((plan): BenchInstance => {
      const path = join(folder, `${plan.id}.ini`);
      writeFileSync(path, instanceSettings(plan, clusterPlan(plans, ready)));
      const child = start(build.command, ["--settings", path]);
      children.push(child);
      return { ...plan, url: urlOf(plan), pid: child.pid ?? 0 };
    });
    const first = instances[0]!;
    await waitFor(api, `${first.url}/healthz`);
    const publish = (manifest: Manifest, baseVersion: number) =>
      publishManifest(api, first.url, manifest, baseVersion);
    await publish(benchManifest(1), -1);
    for (const { url } of instances) await waitFor(api, `${url}/readyz`);
    return { api, logUrl: ready.log, instances, publish, close };
  } catch (error) {
    await close();
    throw error;
  }

  function writeConfig(): string {
    const path = join(folder, "stand_ins.json");
    writeFileSync(path, JSON.stringify(standInConfig(size)));
    return path;
  }
}

async function planInstances(size: BenchSize): Promise<InstancePlan[]> {
  const count = size.zones * size.instancesPerZone;
  const ports = await findFreePorts(count);
  return ports.map((port, index) => {
    const zone = zoneName(index % size.zones);
    const number = Math.floor(index / size.zones) + 1;
    return { id: `${zone}-${number}`, zone, region: REGION, port };
  });
}

function zoneName(index: number): string {
  return `zone-${index + 1}`;
}

function standInConfig(size: BenchSize): StandInConfig {
  const count = size.zones * size.workersPerZone;
  return {
    workers: Array.from({ length: count }, (_, index) => ({
      id: `worker-${index + 1}`,
      zone: zoneName(index % size.zones),
      region: REGION,
      rack: `rack-${index % 4 + 1}`,
      capacity: {
        resources: { cpuMillis: 64_000, memoryMb: 262_144, accelerators: 2 },
        slots: 24,
        connections: 64,
      },
      leaseMs: LEASE_MS,
      port: 0,
    })),
    log: { port: 0 },
    instanceList: { port: 0 },
  };
}

function clusterPlan(
  plans: InstancePlan[],
  ready: v.InferOutput<typeof readySchema>,
) {
  return {
    secret: "secret-of-the-bench",
    seeds: plans.map(urlOf),
    logUrl: ready.log,
    listUrl: ready.instanceList,
    customers: { [CUSTOMER]: TOKEN },
    operatorToken: OPERATOR_TOKEN,
    sections: {},
  };
}

function start(command: string[], argumentList: string[]): ChildProcess {
  return spawn(process.execPath, [...command, ...argumentList], {
    stdio: ["ignore", "pipe", "inherit"],
  });
}

async function readReadyLine(child: ChildProcess) {
  const lines = createInterface({ input: child.stdout! });
  const [line] = await once(lines, "line");
  return v.parse(readySchema, JSON.parse(line));
}

async function publishManifest(
  api: HttpApi,
  url: string,
  manifest: Manifest,
  baseVersion: number,
): Promise<number> {
  const body = {
    changeId: `bench-${baseVersion}`,
    baseVersion,
    author: "bench",
    manifest,
  };
  const options = { token: OPERATOR_TOKEN, body };
  const path = `${url}/v1/operator/manifest`;
  const reply = await api.call("POST", path, options);
  if (reply.kind === "answered" && reply.status === 200) {
    return v.parse(v.object({ version: v.number() }), reply.body).version;
  }
  throw new Error(`The manifest was not published: ${JSON.stringify(reply)}`);
}

async function waitFor(api: HttpApi, url: string): Promise<void> {
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < untilMs) {
    const reply = await api.call("GET", url);
    if (reply.kind === "answered" && reply.status === 200) return;
    await delay(POLL_INTERVAL_MS);
  }
  throw new Error(`No 200 at ${url} within ${READY_TIMEOUT_MS} ms`);
}

async function endChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = once(child, "exit");
  child.kill("SIGTERM");
  const timer = setTimeout(() => child.kill("SIGKILL"), STOP_GRACE_MS);
  await exited;
  clearTimeout(timer);
}
