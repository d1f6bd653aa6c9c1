/**
 * What an idle entry instance costs, by the number of workers that it owns,
 * of peers in its zone, and of other zones.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type BenchSize, startBenchCluster } from "./bench_cluster.ts";
import type { DaemonBuild } from "./daemon_build.ts";
import { printTable, type Row } from "./print_table.ts";
import { sampleIdle } from "./sample.ts";

const SETTLE_MS = 6_000;
const SAMPLE_MS = 10_000;
const WORKERS = [4, 24, 48, 96];
const PEERS = [1, 3, 5, 7];
const ZONES = [1, 3, 5];

/** Measures and prints the three tables. */
export async function measureIdleCost(build: DaemonBuild): Promise<void> {
  const one = { zones: 1, instancesPerZone: 1, workersPerZone: 4 };
  const byWorkers = await rowsOf(
    build,
    WORKERS.map((workersPerZone) => ({ ...one, workersPerZone })),
    (size) => size.workersPerZone,
  );
  printTable("Idle, by workers owned", "workers", byWorkers);
  const byPeers = await rowsOf(
    build,
    PEERS.map((peers) => ({ ...one, instancesPerZone: peers + 1 })),
    (size) => size.instancesPerZone - 1,
  );
  printTable("Idle, by peers in the zone", "peers", byPeers);
  const byZones = await rowsOf(
    build,
    ZONES.map((zones) => ({ ...one, zones: zones + 1 })),
    (size) => size.zones - 1,
  );
  printTable("Idle, by peers in other zones", "peers", byZones);
}

async function rowsOf(
  build: DaemonBuild,
  sizes: BenchSize[],
  valueOf: (size: BenchSize) => number,
): Promise<Row[]> {
  const rows: Row[] = [];
  for (const size of sizes) {
    const cluster = await startBenchCluster(build, size);
    try {
      await delay(SETTLE_MS);
      const values = await sampleIdle(cluster, SAMPLE_MS);
      rows.push({ size: valueOf(size), values });
    } finally {
      await cluster.close();
    }
  }
  return rows;
}
