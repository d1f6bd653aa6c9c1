/**
 * Loads a cluster of real processes on this machine, at a fixed rate of
 * arrivals that does not wait for answers. Prints what callers waited for and
 * what the entry instances used, as a table and as JSON.
 *
 * Options: `--rate N` requests a second (100), `--seconds N` (10), `--work
 * NAME` of the order desk (order), `--run-ms N` (20), `--instances N` a zone
 * (2), `--seed N` (1).
 *
 * @module
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { build, type Histogram } from "hdr-histogram-js";
import * as v from "valibot";
import { createRandomness } from "../../src/clients/mod.ts";
import type { Randomness } from "../../src/hosts/mod.ts";
import { manifestSchema } from "../../src/model/mod.ts";
import {
  type LocalCluster,
  startLocalCluster,
} from "../../stand_ins/local_cluster/mod.ts";
import { pressWorkers } from "./press_workers.ts";
import { readProcessStatus } from "../control/process_status.ts";

const ZONES = ["kigali", "huye", "musanze"];
const REGION = "rwanda";
const TOKEN = "load-token-order-desk";
const FRACTION_STEPS = 2 ** 30;
const MICROS_PER_MS = 1_000;
const BYTES_PER_MIB = 1_048_576;
/** Time for the instances to acquire their workers. */
const SETTLING_MS = 2_000;
/** How long the callers wait for the last answers. */
const LAST_ANSWERS_MS = 15_000;
const MANIFEST = new URL(
  "../../../examples/press/manifest.json",
  import.meta.url,
);
const OUTPUT = new URL("../../../bench/out/", import.meta.url);

type Options = {
  rate: number;
  seconds: number;
  work: string;
  runMs: number;
  instances: number;
  seed: number;
};

type Tally = {
  /** From issuing the id to the whole answer, less the run, in µs. */
  added: Histogram;
  submitted: number;
  ran: number;
  didNotRun: number;
  notKnown: number;
  failed: number;
};

await main(readOptions());

async function main(options: Options): Promise<void> {
  const cluster = await startCluster(options);
  try {
    await delay(SETTLING_MS);
    const before = usageOf(cluster);
    const startedMs = performance.now();
    const tally = await offerLoad(cluster, options);
    const seconds = (performance.now() - startedMs) / 1_000;
    const after = usageOf(cluster);
    const audits = await cluster.audits();
    const starts = audits.flatMap((audit) => audit.runs).length;
    report(options, {
      submitted: tally.submitted,
      ran: tally.ran,
      didNotRun: tally.didNotRun,
      notKnown: tally.notKnown,
      failed: tally.failed,
      starts,
      overCapacity: audits.reduce((sum, audit) => sum + audit.overCapacity, 0),
      addedP50Ms: percentileMs(tally.added, 50),
      addedP99Ms: percentileMs(tally.added, 99),
      addedMaxMs: tally.added.maxValue / MICROS_PER_MS,
      corePercent: corePercent(before, after, seconds),
      cpuMsPerRequest: cpuMsPerRequest(before, after, tally.submitted),
      residentMb: Math.max(...after.map((usage) => usage.residentMb)),
    });
  } finally {
    await cluster.close();
  }
}

function startCluster(options: Options): Promise<LocalCluster> {
  const text = readFileSync(fileURLToPath(MANIFEST), "utf8");
  return startLocalCluster({
    region: REGION,
    zones: ZONES,
    instancesPerZone: options.instances,
    workers: pressWorkers(ZONES, REGION),
    manifest: v.parse(manifestSchema, JSON.parse(text)),
    customers: { "order-desk": TOKEN },
  });
}

async function offerLoad(
  cluster: LocalCluster,
  options: Options,
): Promise<Tally> {
  const randomness = createRandomness(options.seed);
  const tally: Tally = {
    added: build(),
    submitted: 0,
    ran: 0,
    didNotRun: 0,
    notKnown: 0,
    failed: 0,
  };
  const open = new Set<Promise<void>>();
  const startedMs = performance.now();
  let nextMs = 0;
  while (nextMs < options.seconds * 1_000) {
    const waitMs = startedMs + nextMs - performance.now();
    if (waitMs > 0) await delay(waitMs);
    const index = randomness.integer(0, cluster.instances.length - 1);
    const call = submitOne(
      cluster,
      cluster.instances[index]!.url,
      options,
      tally,
    );
    open.add(call);
    call.finally(() => open.delete(call));
    nextMs += exponential(randomness, 1_000 / options.rate);
  }
  await Promise.race([Promise.all(open), delay(LAST_ANSWERS_MS)]);
  return tally;
}

async function submitOne(
  cluster: LocalCluster,
  url: string,
  options: Options,
  tally: Tally,
): Promise<void> {
  tally.submitted++;
  const startedMs = performance.now();
  const token = TOKEN;
  const issued = await cluster.api.call("POST", `${url}/v1/requests`, {
    token,
  });
  if (issued.kind !== "answered" || issued.status !== 201) {
    tally.failed++;
    return;
  }
  const { id } = issued.body as { id: string };
  const path = `${url}/v1/requests/${id}?waitMs=${LAST_ANSWERS_MS}`;
  const { runMs } = options;
  const answer = await cluster.api.call("PUT", path, {
    token,
    timeoutMs: LAST_ANSWERS_MS,
    body: {
      agreement: "order-desk",
      work: options.work,
      tasks: [{ payload: { runMs, output: "x" } }],
    },
  });
  if (answer.kind !== "answered" || answer.status >= 300) {
    tally.failed++;
    return;
  }
  const { outcome } = answer.body as { outcome: { kind: string } };
  if (outcome.kind === "ran") {
    const addedMs = performance.now() - startedMs - runMs;
    tally.ran++;
    tally.added.recordValue(Math.max(1, Math.round(addedMs * MICROS_PER_MS)));
  } else if (outcome.kind === "didNotRun") tally.didNotRun++;
  else tally.notKnown++;
}

function usageOf(cluster: LocalCluster) {
  return cluster.instances.map(({ program }) => {
    const status = readProcessStatus(program.pid ?? 0);
    return {
      cpuSeconds: status.processorMs / 1_000,
      residentMb: status.residentBytes / BYTES_PER_MIB,
    };
  });
}

type Usages = ReturnType<typeof usageOf>;

function corePercent(before: Usages, after: Usages, seconds: number): number {
  const used = totalCpu(after) - totalCpu(before);
  return 100 * used / seconds / after.length;
}

function cpuMsPerRequest(before: Usages, after: Usages, count: number): number {
  return 1_000 * (totalCpu(after) - totalCpu(before)) / Math.max(1, count);
}

function totalCpu(usages: Usages): number {
  return usages.reduce((sum, usage) => sum + usage.cpuSeconds, 0);
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
}

function exponential(randomness: Randomness, meanMs: number): number {
  const fraction = randomness.integer(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  return -Math.log(1 - fraction) * meanMs;
}

function report(options: Options, figures: Record<string, number>): void {
  console.log(`load: ${JSON.stringify(options)}`);
  for (const [name, value] of Object.entries(figures)) {
    console.log(`  ${name.padEnd(16)} ${Number(value.toFixed(2))}`);
  }
  mkdirSync(OUTPUT, { recursive: true });
  const file = new URL(`load-${options.work}-${options.rate}.json`, OUTPUT);
  writeFileSync(file, JSON.stringify({ options, figures }, undefined, 2));
}

function readOptions(): Options {
  const { values } = parseArgs({
    options: {
      rate: { type: "string", default: "100" },
      seconds: { type: "string", default: "10" },
      work: { type: "string", default: "order" },
      "run-ms": { type: "string", default: "20" },
      instances: { type: "string", default: "2" },
      seed: { type: "string", default: "1" },
    },
  });
  return {
    rate: Number(values.rate),
    seconds: Number(values.seconds),
    work: values.work,
    runMs: Number(values["run-ms"]),
    instances: Number(values.instances),
    seed: Number(values.seed),
  };
}
