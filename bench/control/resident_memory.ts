/**
 * Compares the resident memory of the daemon between its builds: idle, right
 * after a load, and idle again. The cluster has the size of the press: six
 * entry instances in three zones, and 36 workers.
 *
 * Arguments: the number of orders (default 833), then parts of the names of
 * the builds to measure.
 *
 * @module
 */
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { startBenchCluster } from "./bench_cluster.ts";
import { submitBenchOrders } from "./bench_orders.ts";
import { DAEMON_BUILDS, type DaemonBuild } from "./daemon_build.ts";
import { readProcessStatus } from "./process_status.ts";

/** An hour's worth of requests: 20,000 jobs a day. */
const DEFAULT_ORDERS = 833;
const IDLE_MS = 8_000;
const BYTES_PER_MIB = 1_048_576;

const [count, ...parts] = process.argv.slice(2);
const orders = Number(count ?? DEFAULT_ORDERS);
const builds = DAEMON_BUILDS.filter(({ name }) =>
  parts.length === 0 || parts.some((part) => name === part)
);
console.log("build\tphase\tresident MiB\tprivate MiB\tprocessor ms");
for (const build of builds) await measure(build);

async function measure(build: DaemonBuild): Promise<void> {
  const size = { zones: 3, instancesPerZone: 2, workersPerZone: 12 };
  const cluster = await startBenchCluster(build, size);
  try {
    const pids = cluster.instances.map(({ pid }) => pid);
    const urls = cluster.instances.map(({ url }) => url);
    await delay(IDLE_MS);
    report(build, "idle", pids);
    const ran = await submitBenchOrders(cluster.api, urls, orders);
    report(build, `after ${ran} of ${orders} orders`, pids);
    await delay(IDLE_MS);
    report(build, "idle again", pids);
  } finally {
    await cluster.close();
  }
}

/** Reports the larger of the instances. */
function report(build: DaemonBuild, phase: string, pids: number[]): void {
  const statuses = pids.map(readProcessStatus);
  const most = (value: (status: typeof statuses[number]) => number) =>
    Math.max(...statuses.map(value));
  const row = [
    build.name,
    phase,
    (most((status) => status.residentBytes) / BYTES_PER_MIB).toFixed(1),
    (most((status) => status.privateBytes) / BYTES_PER_MIB).toFixed(1),
    most((status) => status.processorMs),
  ];
  console.log(row.join("\t"));
}
