import type { Manifest, Policy, WorkKind } from "../../src/model/mod.ts";
import type { WorkerConfig } from "../platform/platform.ts";
import { endDueRuns } from "../platform/worker.ts";
import {
  type LocalCluster,
  type LocalClusterOptions,
  startLocalCluster,
} from "./local_cluster.ts";
import {
  submitWorkItem,
  type WorkItem,
  type WorkItemResult,
} from "./submit_work_item.ts";
import {
  checkExecution,
  type ExecutionCheck,
  type WorkerHistory,
} from "./check_execution.ts";

const CUSTOMER = "receipting";
const TOKEN = "token-of-the-test-cluster";
const WORKERS_PER_ZONE = 2;
const CALLERS = 8;
const SUBMIT_TIMEOUT_MS = 90_000;

/** Names of the work kinds in the test manifest. */
export type TestWork = "receipt" | "scan" | "letter" | "audit";

/**
 * Starts a small cluster, runs a test against it and stops every process.
 *
 * @param zones zone names; each zone gets two entry instances
 */
export async function withTestCluster(
  zones: string[],
  run: (cluster: LocalCluster) => Promise<void>,
): Promise<void> {
  const cluster = await startLocalCluster(testClusterOptions(zones));
  try {
    await run(cluster);
  } finally {
    await cluster.close();
  }
}

/** Options of the cluster that `withTestCluster` starts. */
export function testClusterOptions(zones: string[]): LocalClusterOptions {
  return {
    region: "tasmania",
    zones,
    instancesPerZone: 2,
    workers: zones.flatMap(zoneWorkers),
    manifest: testManifest(),
    customers: { [CUSTOMER]: TOKEN },
  };
}

/**
 * Builds work items of one kind.
 *
 * @param runMs run time of each task, in milliseconds
 * @param tasks number of tasks per work item
 */
export function testWorkItems(
  work: TestWork,
  count: number,
  runMs: number,
  tasks = 1,
): WorkItem[] {
  return Array.from({ length: count }, (_item, number) => ({
    key: `${work}-${number}`,
    token: TOKEN,
    submission: {
      agreement: CUSTOMER,
      work,
      tasks: Array.from({ length: tasks }, (_task, index) => ({
        payload: { runMs, card: `${work} ${number}/${index}` },
      })),
    },
  }));
}

/**
 * Submits work items from several concurrent callers.
 *
 * @param onResult called after each result, with the number so far
 * @param urls base URLs that callers may use; by default of every instance
 */
export async function submitWorkItems(
  cluster: LocalCluster,
  workItems: WorkItem[],
  onResult: (count: number) => void = () => {},
  urls = () => cluster.instances.map((instance) => instance.url),
): Promise<WorkItemResult[]> {
  const options = { api: cluster.api, urls, timeoutMs: SUBMIT_TIMEOUT_MS };
  const results: WorkItemResult[] = [];
  let next = 0;

  async function runCaller(): Promise<void> {
    while (next < workItems.length) {
      const index = next;
      next += 1;
      results.push(await submitWorkItem(options, workItems[index]!, index));
      onResult(results.length);
    }
  }

  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  return results;
}

/** Checks results against the workers' present records. */
export function checkCluster(
  cluster: LocalCluster,
  results: WorkItemResult[],
): ExecutionCheck {
  return checkExecution(workerHistories(cluster), cluster.manifest, results);
}

/** Returns the run records of a cluster's workers. */
export function workerHistories({ platform }: LocalCluster): WorkerHistory[] {
  return platform.workers.map((worker, index) => {
    const { id, started } = worker;
    const { capacity } = platform.workerConfigs[index]!;
    // A worker that no call reaches ends its runs as well.
    endDueRuns(worker, Date.now());
    return { id, capacity, started };
  });
}

function zoneWorkers(zone: string): WorkerConfig[] {
  return Array.from({ length: WORKERS_PER_ZONE }, (_worker, index) => ({
    id: `${zone}-worker-${index + 1}`,
    service: "default",
    zone,
    rack: `${zone}-a`,
    capacity: { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 4 },
  }));
}

function testManifest(): Manifest {
  const share = { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 16 };
  const work: WorkKind[] = [
    workKind("receipt", { kind: "batch" }, false, false),
    workKind("scan", { kind: "batch" }, true, false),
    workKind("letter", { kind: "batch" }, false, true),
    workKind("audit", { kind: "gang", holdMs: 10_000 }, true, false),
  ];
  return {
    customers: [{ name: CUSTOMER }],
    agreements: [{ name: CUSTOMER, customer: CUSTOMER, share, work }],
  };
}

function workKind(
  name: TestWork,
  policy: Policy,
  idempotent: boolean,
  durable: boolean,
): WorkKind {
  const demand = { cpuMillis: 2_000, memoryMb: 2_048, accelerators: 0 };
  const durationMs = 200;
  return {
    name,
    policy,
    service: "default",
    idempotent,
    durable,
    demand,
    durationMs,
    urgency: 7,
  };
}
