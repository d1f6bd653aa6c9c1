/**
 * One zone at the size to design for: a sixth of 1,000 workers and of 36
 * entry instances. It checks the sum of the slopes against a measurement.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { startBenchCluster } from "./bench_cluster.ts";
import type { DaemonBuild } from "./daemon_build.ts";
import { sampleIdle } from "./sample.ts";

const SIZE = { zones: 1, instancesPerZone: 6, workersPerZone: 168 };
const SETTLE_MS = 10_000;
const SAMPLE_MS = 10_000;
const DIGITS = 1;

/** Measures and prints one instance of the zone. */
export async function measureZoneCost(build: DaemonBuild): Promise<void> {
  const cluster = await startBenchCluster(build, SIZE);
  try {
    await delay(SETTLE_MS);
    const sample = await sampleIdle(cluster, SAMPLE_MS);
    console.log("\nIdle, one of 6 instances in a zone with 168 workers");
    for (const [name, value] of Object.entries(sample)) {
      console.log(`${name}  ${value.toFixed(DIGITS)}`);
    }
  } finally {
    await cluster.close();
  }
}
