/**
 * What the starts of tasks cost an entry instance, by their rate.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type BenchCluster, startBenchCluster } from "./bench_cluster.ts";
import { benchOrder } from "./bench_orders.ts";
import type { DaemonBuild } from "./daemon_build.ts";
import { printTable, type Row } from "./print_table.ts";
import { sampleWhile } from "./sample.ts";
import { submitOrder } from "../../stand_ins/local_cluster/mod.ts";

const SIZE = { zones: 1, instancesPerZone: 1, workersPerZone: 16 };
const RATES = [5, 10, 20, 40];
const WARM_ORDERS = 400;
const SAMPLE_S = 8;
const MS_PER_S = 1_000;
const PATIENCE_MS = 20_000;

/** Measures and prints a table for each kind of work. */
export async function measureStartCost(build: DaemonBuild): Promise<void> {
  for (const work of ["urgent", "letters"] as const) {
    const cluster = await startBenchCluster(build, SIZE);
    try {
      await submitAtRate(cluster, work, WARM_ORDERS / SAMPLE_S);
      const rows: Row[] = [];
      for (const rate of RATES) {
        const values = await sampleWhile(
          cluster,
          () => submitAtRate(cluster, work, rate),
        );
        rows.push({ size: rate, values });
      }
      printTable(`Starts of kind "${work}"`, "starts/s", rows);
    } finally {
      await cluster.close();
    }
  }
}

async function submitAtRate(
  cluster: BenchCluster,
  work: "urgent" | "letters",
  ratePerS: number,
): Promise<void> {
  const urls = () => cluster.instances.map(({ url }) => url);
  const options = { api: cluster.api, urls, patienceMs: PATIENCE_MS };
  const count = ratePerS * SAMPLE_S;
  const startedMs = performance.now();
  const heard = [];
  for (let index = 0; index < count; index += 1) {
    const dueMs = startedMs + index * MS_PER_S / ratePerS;
    const waitMs = dueMs - performance.now();
    if (waitMs > 0) await delay(waitMs);
    heard.push(submitOrder(options, benchOrder(index, work), 0));
  }
  const outcomes = await Promise.all(heard);
  const ran = outcomes.filter(({ outcome }) => outcome?.kind === "ran").length;
  if (ran < count) console.log(`${count - ran} of ${count} did not run`);
}
