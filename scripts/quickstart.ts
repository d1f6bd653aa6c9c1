/**
 * Runs a small cluster on this machine: the stand-ins and six entry instances
 * in three zones, each a process of its own. Callers order proofs, memorial
 * runs and a portrait set; one entry instance is killed on the way. Closes
 * with one line that is counted from the workers' own records.
 *
 * @module
 */
import process from "node:process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import * as v from "valibot";
import { manifestSchema } from "../src/model/mod.ts";
import {
  formatVerdict,
  type HeardOrder,
  type LocalCluster,
  startLocalCluster,
  submitOrder,
  verdictOf,
} from "../stand_ins/local_cluster/mod.ts";
import { quickstartOrders, TOKENS } from "./quickstart_orders.ts";
import { showAccount, showTimeLine } from "./quickstart_reports.ts";
import { quickstartWorkers } from "./quickstart_workers.ts";

const MANIFEST = fileURLToPath(
  new URL("../../examples/press/manifest.json", import.meta.url),
);
const ZONES = ["kigali", "huye", "musanze"];
const REGION = "rwanda";
const INSTANCES_PER_ZONE = 2;
const CALLERS = 16;
const PATIENCE_MS = 25_000;
/** Share of the orders after which an entry instance is killed. */
const KILL_AFTER_SHARE = 0.3;

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
      JSON.parse(readFileSync(MANIFEST, "utf8")),
    ),
    customers: TOKENS,
  });
  endWithSignals(cluster);
  try {
    console.log("Every instance is ready with the press's manifest.");
    const heard = await submitAll(cluster);
    const verdict = verdictOf(cluster, heard);
    const complaints = heard.flatMap((order) => order.complaints);
    await showAccount(cluster);
    await showTimeLine(cluster);
    for (const fault of verdict.faults) console.log(fault);
    for (const complaint of complaints) console.log(`refused ${complaint}`);
    console.log(`quickstart: ${formatVerdict(verdict)}`);
    const isRight = verdict.ran === verdict.submitted &&
      verdict.twice + verdict.lost + verdict.overCapacity === 0;
    return isRight && complaints.length === 0 ? 0 : 1;
  } finally {
    await cluster.close();
  }
}

/** Ends what was started when the quickstart itself is interrupted. */
function endWithSignals(cluster: LocalCluster): void {
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => {
      cluster.close().finally(() => process.exit(1));
    });
  }
}

/** Submits every order from several callers at once, and kills an instance. */
async function submitAll(cluster: LocalCluster): Promise<HeardOrder[]> {
  const orders = quickstartOrders();
  const killAfter = Math.floor(orders.length * KILL_AFTER_SHARE);
  const options = {
    api: cluster.api,
    urls: () => cluster.instances.map((instance) => instance.url),
    patienceMs: PATIENCE_MS,
  };
  const heard: HeardOrder[] = [];
  let next = 0;

  async function runCaller(): Promise<void> {
    while (next < orders.length) {
      const index = next;
      next += 1;
      if (index === killAfter) killFirst(cluster);
      heard.push(await submitOrder(options, orders[index]!, index));
    }
  }

  console.log(`Submitting ${orders.length} orders.`);
  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  return heard;
}

function killFirst(cluster: LocalCluster): void {
  const victim = cluster.instances[0]!;
  console.log(`Killing the entry instance ${victim.id} with SIGKILL.`);
  victim.program.signal("SIGKILL");
}
