import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import * as v from "valibot";
import type { Manifest } from "../../src/model/mod.ts";
import type { StandInConfig } from "../stand_in_config.ts";
import type { WorkerAudit, WorkerOptions } from "../worker/mod.ts";
import { findFreePorts } from "./free_ports.ts";
import { createHttpApi, type HttpApi } from "./http_api.ts";
import {
  type ClusterPlan,
  type InstancePlan,
  instanceSettings,
  urlOf,
} from "./instance_settings.ts";
import { endProgram, type Program, startProgram } from "./program.ts";

const POLL_INTERVAL_MS = 50;
const START_TIMEOUT_MS = 60_000;
const STOP_GRACE_MS = 20_000;
const NO_VERSION = -1;
/**
 * Longer than the instances allow their clocks to differ by. A request id
 * issued earlier stays "not known yet" when its home dies, since no instance
 * has watched the workers from before it was issued.
 */
const WITNESS_DELAY_MS = 2_500;
const OPERATOR_TOKEN = "operator-token-of-the-local-cluster";
const SECRET = "secret-of-the-local-cluster";
const STAND_INS = fileURLToPath(new URL("../main.js", import.meta.url));
const DAEMON = fileURLToPath(
  new URL("../../src/daemon/samphirestaged.js", import.meta.url),
);

const readySchema = v.object({
  ready: v.literal(true),
  workers: v.array(v.object({ id: v.string(), url: v.string() })),
  log: v.string(),
  instanceList: v.string(),
});

/** What a local cluster consists of. */
export type LocalClusterOptions = {
  region: string;
  zones: string[];
  instancesPerZone: number;
  workers: WorkerOptions[];
  manifest: Manifest;
  /** Bearer token by customer. */
  customers: Record<string, string>;
  /** Further sections of the settings, such as `lease`. */
  sections?: ClusterPlan["sections"];
};

/** An entry instance in a process of its own. */
export type LocalInstance = InstancePlan & { url: string; program: Program };

/** A cluster that runs on this machine. */
export type LocalCluster = {
  api: HttpApi;
  instances: LocalInstance[];
  workers: { id: string; url: string }[];
  logUrl: string;
  listUrl: string;
  operatorToken: string;
  /** Reads every worker's own records. */
  audits(): Promise<WorkerAudit[]>;
  /** Changes the faults that a stand-in shows. */
  control(url: string, body: object): Promise<void>;
  /** Ends every process that was started. */
  close(): Promise<void>;
};

/**
 * Starts the stand-ins and the entry instances, publishes the manifest and
 * waits until every instance is ready and has watched the workers for a while.
 *
 * @throws when a process does not get ready in time
 */
export async function startLocalCluster(
  options: LocalClusterOptions,
): Promise<LocalCluster> {
  const folder = mkdtempSync(join(tmpdir(), "samphirestage-"));
  const api = createHttpApi();
  const programs: Program[] = [];
  const close = () => closeCluster(api, programs, folder);
  try {
    const plans = await planInstances(options);
    const standIns = startStandIns(options, plans, folder);
    programs.push(standIns);
    const ready = await readReadyLine(standIns);
    const instances = startInstances(options, plans, ready, folder);
    programs.push(...instances.map((instance) => instance.program));
    await publish(api, options.manifest, instances);
    for (const { url, program } of instances) {
      await waitForStatus(api, `${url}/readyz`, program);
    }
    await delay(WITNESS_DELAY_MS);
    return {
      api,
      instances,
      workers: ready.workers,
      logUrl: ready.log,
      listUrl: ready.instanceList,
      operatorToken: OPERATOR_TOKEN,
      audits: () => readAudits(api, ready.workers),
      control: (url, body) => control(api, url, body),
      close,
    };
  } catch (error) {
    await close();
    throw error;
  }
}

/**
 * Polls until a condition holds.
 *
 * @param timeoutMs after which it throws, in milliseconds
 */
export async function waitUntil(
  what: string,
  timeoutMs: number,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const untilMs = performance.now() + timeoutMs;
  while (!await condition()) {
    if (performance.now() > untilMs) throw new Error(`Timed out: ${what}`);
    await delay(POLL_INTERVAL_MS);
  }
}

async function planInstances(
  options: LocalClusterOptions,
): Promise<InstancePlan[]> {
  const { zones, instancesPerZone, region } = options;
  const ports = await findFreePorts(zones.length * instancesPerZone);
  return ports.map((port, index) => {
    const zone = zones[index % zones.length]!;
    const number = Math.floor(index / zones.length) + 1;
    return { id: `${zone}-${number}`, zone, region, port };
  });
}

function startStandIns(
  options: LocalClusterOptions,
  plans: InstancePlan[],
  folder: string,
): Program {
  const instances = plans.map((plan) => {
    const { id, zone, region } = plan;
    return { id, zone, region, url: urlOf(plan) };
  });
  const config: StandInConfig = {
    workers: options.workers.map((worker) => ({ ...worker, port: 0 })),
    log: { port: 0 },
    instanceList: { port: 0, instances },
  };
  const path = join(folder, "stand_ins.json");
  writeFileSync(path, JSON.stringify(config));
  return startProgram("stand-ins", STAND_INS, ["--config", path]);
}

async function readReadyLine(
  program: Program,
): Promise<v.InferOutput<typeof readySchema>> {
  const line = () => program.output().split("\n")[0] ?? "";
  await waitUntil("the stand-ins get ready", START_TIMEOUT_MS, () => {
    if (program.hasExited()) throw new Error(program.output());
    return program.output().includes("\n");
  });
  return v.parse(readySchema, JSON.parse(line()));
}

function startInstances(
  options: LocalClusterOptions,
  plans: InstancePlan[],
  ready: v.InferOutput<typeof readySchema>,
  folder: string,
): LocalInstance[] {
  const cluster: ClusterPlan = {
    secret: SECRET,
    seeds: plans.map(urlOf),
    logUrl: ready.log,
    listUrl: ready.instanceList,
    customers: options.customers,
    operatorToken: OPERATOR_TOKEN,
    sections: options.sections ?? {},
  };
  return plans.map((plan) => {
    const path = join(folder, `${plan.id}.ini`);
    writeFileSync(path, instanceSettings(plan, cluster));
    const program = startProgram(plan.id, DAEMON, ["--settings", path]);
    return { ...plan, url: urlOf(plan), program };
  });
}

async function publish(
  api: HttpApi,
  manifest: Manifest,
  instances: LocalInstance[],
): Promise<void> {
  const [first] = instances;
  if (first === undefined) return;
  await waitForStatus(api, `${first.url}/healthz`, first.program);
  const body = {
    changeId: "local-cluster-1",
    baseVersion: NO_VERSION,
    author: "local-cluster",
    manifest,
  };
  await waitUntil("the manifest is published", START_TIMEOUT_MS, async () => {
    const url = `${first.url}/v1/operator/manifest`;
    const reply = await api.call("POST", url, { token: OPERATOR_TOKEN, body });
    return reply.kind === "answered" && reply.status === 200;
  });
}

async function waitForStatus(
  api: HttpApi,
  url: string,
  program: Program,
): Promise<void> {
  await waitUntil(`200 at ${url}`, START_TIMEOUT_MS, async () => {
    if (program.hasExited()) {
      throw new Error(`${program.name} ended:\n${program.output()}`);
    }
    const reply = await api.call("GET", url);
    return reply.kind === "answered" && reply.status === 200;
  });
}

async function readAudits(
  api: HttpApi,
  workers: { id: string; url: string }[],
): Promise<WorkerAudit[]> {
  return await Promise.all(workers.map(async ({ id, url }) => {
    const reply = await api.call("GET", `${url}/audit`);
    if (reply.kind === "failed") throw new Error(`${id}: ${reply.cause}`);
    return reply.body as WorkerAudit;
  }));
}

async function control(
  api: HttpApi,
  url: string,
  body: object,
): Promise<void> {
  const reply = await api.call("POST", `${url}/control`, { body });
  if (reply.kind === "failed") throw new Error(`${url}: ${reply.cause}`);
}

async function closeCluster(
  api: HttpApi,
  programs: Program[],
  folder: string,
): Promise<void> {
  const [standIns, ...instances] = programs;
  await Promise.all(
    instances.map((program) => endProgram(program, STOP_GRACE_MS)),
  );
  if (standIns !== undefined) await endProgram(standIns, STOP_GRACE_MS);
  await api.close();
  rmSync(folder, { recursive: true, force: true });
}
