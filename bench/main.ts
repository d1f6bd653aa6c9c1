/**
 * Runs the benchmarks, prints their tables and writes `bench/out/bench.json`.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { measureDecisions } from "./decisions.ts";
import {
  cooperative,
  type Deployment,
  designSize,
  press,
} from "./deployment.ts";
import { runLoad } from "./load_run.ts";
import { measurePacking } from "./packing.ts";
import {
  formatCounts,
  formatDecisions,
  formatPacking,
  formatWaits,
  type LoadResult,
  type Report,
  sumUpLoad,
} from "./report.ts";
import { loadRunOptions, variants } from "./variant.ts";

const SEED = 7;
const LOADS = [0.5, 0.8, 0.95, 1.2];
const PACKING_SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);
const WORKER_COUNTS = [34, 1_000, 10_000];
const WAITING_TASKS = [0, 2_000];
const PLACEMENTS = 20_000;

main();

function main(): void {
  const deployments = [press(), cooperative(), designSize()];
  const report: Report = { seed: SEED, loads: [], packing: [], decisions: [] };
  report.decisions = decisions();
  console.log(`${formatDecisions(report.decisions)}\n`);
  report.packing = deployments.flatMap(packing);
  console.log(`${formatPacking(report.packing)}\n`);
  for (const deployment of deployments) {
    for (const load of LOADS) report.loads.push(...loads(deployment, load));
  }
  mkdirSync("bench/out", { recursive: true });
  writeFileSync("bench/out/bench.json", JSON.stringify(report, undefined, 2));
}

function decisions(): Report["decisions"] {
  return WAITING_TASKS.flatMap((queued) =>
    WORKER_COUNTS.map((workers) =>
      measureDecisions({ workers, queued, placements: PLACEMENTS, seed: SEED })
    )
  );
}

function packing(deployment: Deployment): Report["packing"] {
  return variants.map((variant) => ({
    deployment: deployment.name,
    variant: variant.name,
    ...measurePacking(variant, deployment, PACKING_SEEDS),
  }));
}

function loads(deployment: Deployment, load: number): LoadResult[] {
  const results = variants.map((variant) => {
    const tally = runLoad(loadRunOptions(variant, deployment, load, SEED));
    return sumUpLoad(deployment, load, variant.name, tally);
  });
  console.log(`${formatWaits(results)}\n`);
  console.log(`${formatCounts(results)}\n`);
  return results;
}
