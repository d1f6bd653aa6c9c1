/**
 * Runs a small cluster on this machine: the stand-ins in this process, and six
 * entry instances in three zones, each in a process of its own. Callers submit
 * single tasks, sets of tasks and a gang, and one entry instance is killed
 * meanwhile. Ends with a line of counts from the workers' own records.
 *
 * @module
 */
import process from "node:process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import * as v from "valibot";
import { manifestSchema } from "../src/model/mod.ts";
import {
  checkCluster,
  formatExecutionCheck,
  type LocalCluster,
  startLocalCluster,
  submitWorkItem,
  type WorkItemResult,
} from "../stand_ins/local_cluster/mod.ts";
import { quickstartWorkItems, TOKENS } from "./quickstart_work_items.ts";
import { printAccount, printTimeLine } from "./quickstart_reports.ts";
import { quickstartWorkers } from "./quickstart_workers.ts";

const MANIFEST_PATH = fileURLToPath(
  new URL("../../examples/press/manifest.json", import.meta.url),
);
const ZONES = ["kigali", "huye", "musanze"];
const REGION = "rwanda";
const INSTANCES_PER_ZONE = 2;
const CALLERS = 16;
const SUBMIT_TIMEOUT_MS = 25_000;
/** Fraction of the work items after which an entry instance is killed. */
const KILL_AFTER_FRACTION = 0.3;

process.exitCode = await main();

async function main(): Promise<number> {
  console.log("Starting the stand-ins and six entry instances.");
  const cluster = await startLocalCluster({
    region: REGION,
    zones: ZONES,
    instancesPerZone: INSTANCES_PER_ZONE,
    workers: quickstartWorkers(ZONES),
    manifest: v.parse(
      manifestSchema,
      JSON.parse(readFileSync(MANIFEST_PATH, "utf8")),
    ),
    customers: TOKENS,
  });
  closeOnSignals(cluster);
  try {
    console.log("Every instance is ready, and the manifest is published.");
    const results = await submitAll(cluster);
    const check = checkCluster(cluster, results);
    const clientErrors = results.flatMap((result) => result.clientErrors);
    await printAccount(cluster);
    await printTimeLine(cluster);
    for (const violation of check.violations) console.log(violation);
    for (const clientError of clientErrors) {
      console.log(`client error: ${clientError}`);
    }
    console.log(`quickstart: ${formatExecutionCheck(check)}`);
    const isPassed = check.ran === check.submitted &&
      check.twice + check.lost + check.overCapacity === 0;
    return isPassed && clientErrors.length === 0 ? 0 : 1;
  } finally {
    await cluster.close();
  }
}

/** Stops the cluster when the quickstart itself is interrupted. */
function closeOnSignals(cluster: LocalCluster): void {
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => {
      cluster.close().finally(() => process.exit(1));
    });
  }
}

/** Submits all work items from concurrent callers, and kills an instance. */
async function submitAll(cluster: LocalCluster): Promise<WorkItemResult[]> {
  const workItems = quickstartWorkItems();
  const killAfter = Math.floor(workItems.length * KILL_AFTER_FRACTION);
  const options = {
    api: cluster.api,
    urls: () => cluster.instances.map((instance) => instance.url),
    timeoutMs: SUBMIT_TIMEOUT_MS,
  };
  const results: WorkItemResult[] = [];
  let next = 0;

  async function runCaller(): Promise<void> {
    while (next < workItems.length) {
      const index = next;
      next += 1;
      if (index === killAfter) killFirstInstance(cluster);
      results.push(await submitWorkItem(options, workItems[index]!, index));
    }
  }

  console.log(`Submitting ${workItems.length} work items.`);
  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  return results;
}

function killFirstInstance(cluster: LocalCluster): void {
  const instance = cluster.instances[0]!;
  console.log(`Killing the entry instance ${instance.id} with SIGKILL.`);
  instance.program.signal("SIGKILL");
}
