/**
 * One run: a cluster of real processes under load, with faults from outside,
 * checked by what its callers heard and its workers remember.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { createRandomness } from "../src/clients/mod.ts";
import {
  type HeardOrder,
  judge,
  recordedWorkers,
  startLocalCluster,
  submitOrder,
  testClusterOptions,
  testOrders,
  type TestWork,
} from "../stand_ins/local_cluster/mod.ts";
import { checkFollowed } from "./check_followed.ts";
import type { PlannedFault } from "./fault.ts";
import { type FaultProxy, startFaultProxy } from "./fault_proxy.ts";
import { type FollowedRequest, followRequest } from "./follow_request.ts";
import { type Battlefield, heal, injectFaults } from "./inject_faults.ts";
import { planFaults } from "./plan_faults.ts";
import { watchVersions } from "./watch_versions.ts";

const ZONES = ["hobart", "launceston", "burnie"];
const WATCH_MS = 250;
/** How long callers may wait for a final answer once all is well again. */
const PATIENCE_MS = 45_000;
const LONGEST_RUN_MS = 800;
const LONGEST_CANCEL_MS = 600;
const GANG_SIZE = 3;

/** What a run consists of. */
export type SoakOptions = {
  seed: number;
  /** How long load and faults last, in milliseconds. */
  lengthMs: number;
  /** How many callers submit at once. */
  callers: number;
};

/** What a run showed. */
export type SoakResult = {
  seed: number;
  plan: PlannedFault[];
  /** Broken promises, each as a line. */
  broken: string[];
  /** When each order was asked for and heard of, in ms after the start. */
  orders: { atMs: number; heardMs: number }[];
  /** What the instances logged, by id. */
  logs: Map<string, string>;
};

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, lengthMs } = options;
  const storeProxies: FaultProxy[] = [];
  const workerProxies: FaultProxy[] = [];
  const cluster = await startLocalCluster({
    ...testClusterOptions(ZONES),
    storeReachedAt: (_instance, address) => through(storeProxies, address),
    workerReachedAt: (_worker, address) => through(workerProxies, address),
  });
  const field: Battlefield = { cluster, storeProxies, workerProxies };
  const broken = new Set<string>();
  const watching = new AbortController();
  try {
    const plan = [...planFaults(createRandomness(seed), {
      instances: cluster.instances.length,
      workers: workerProxies.length,
      lengthMs,
    })];
    const versionFaults: string[] = [];
    const watches = [
      watchRuns(field, broken, watching.signal),
      watchVersions(cluster, versionFaults, watching.signal),
    ];
    const load = runLoad(field, options);
    await injectFaults(field, plan);
    await heal(field);
    const { heard, followed, orders } = await load;
    watching.abort();
    await Promise.all(watches);
    const workers = recordedWorkers(cluster);
    for (const fault of versionFaults) broken.add(fault);
    const verdict = judge(workers, cluster.manifest, heard);
    for (const fault of verdict.faults) broken.add(fault);
    const runs = workers.flatMap(({ started }) => started);
    for (const fault of checkFollowed(followed, runs)) broken.add(fault);
    const logs = new Map(
      cluster.instances.map(({ id, program, earlierOutput }) => [
        id,
        earlierOutput + program.output(),
      ]),
    );
    return { seed, plan, broken: [...broken], orders, logs };
  } finally {
    watching.abort();
    const proxies = [...storeProxies, ...workerProxies];
    // A process that is cut off could not stop by itself.
    for (const proxy of proxies) proxy.treat({ kind: "passing" });
    await cluster.close();
    for (const proxy of proxies) proxy.close();
  }
}

/** Describes a run in one line. */
export function describeRun(
  { seed, plan, orders, broken }: SoakResult,
): string {
  return `seed ${seed}: ${plan.length} faults, ${orders.length} orders, ` +
    `${broken.length} broken promises`;
}

async function through(
  proxies: FaultProxy[],
  address: string,
): Promise<string> {
  const proxy = await startFaultProxy(address);
  proxies.push(proxy);
  return proxy.address;
}

/** Looks at the workers while the load runs. */
async function watchRuns(
  { cluster }: Battlefield,
  broken: Set<string>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const { faults } = judge(recordedWorkers(cluster), cluster.manifest, []);
    for (const fault of faults) broken.add(fault);
    await delay(WATCH_MS);
  }
}

type Load = {
  heard: HeardOrder[];
  followed: FollowedRequest[];
  orders: SoakResult["orders"];
};

/** Orders of all kinds from several callers, until the time is over. */
async function runLoad(
  { cluster }: Battlefield,
  { seed, lengthMs, callers }: SoakOptions,
): Promise<Load> {
  const load: Load = { heard: [], followed: [], orders: [] };
  const startMs = performance.now();
  const urls = cluster.instances.map(({ url }) => url);
  const untilMs = startMs + lengthMs + PATIENCE_MS;
  await Promise.all(Array.from({ length: callers }, async (_, caller) => {
    const randomness = createRandomness(seed * 1_000 + caller);
    for (let turn = 0; performance.now() < startMs + lengthMs; turn += 1) {
      const atMs = performance.now() - startMs;
      const key = `${caller}-${turn}`;
      const runMs = randomness.integer(10, LONGEST_RUN_MS);
      const first = randomness.integer(0, urls.length - 1);
      if (randomness.integer(0, 3) < 2) {
        const isGang = randomness.integer(0, 3) === 0;
        const order = isGang
          ? orderOf("audit", key, runMs, GANG_SIZE)
          : orderOf("scan", key, runMs, 1);
        const patienceMs = untilMs - performance.now();
        const options = { api: cluster.api, urls: () => urls, patienceMs };
        load.heard.push(await submitOrder(options, order, first));
      } else {
        const isCancelled = randomness.integer(0, 1) === 0;
        const cancelAfterMs = isCancelled
          ? randomness.integer(0, LONGEST_CANCEL_MS)
          : undefined;
        const work = randomness.integer(0, 1) === 0 ? "receipt" : "scan";
        const order = orderOf(work, key, runMs, 2);
        const following = { api: cluster.api, urls, cancelAfterMs, untilMs };
        load.followed.push(await followRequest(following, order, first));
      }
      load.orders.push({ atMs, heardMs: performance.now() - startMs });
    }
  }));
  return load;
}

function orderOf(work: TestWork, key: string, runMs: number, tasks: number) {
  const [order] = testOrders(work, 1, runMs, tasks);
  return { ...order!, key: `${work}-${key}` };
}
