import type { Manifest, Policy, WorkKind } from "../../src/model/mod.ts";
import type { WorkerOptions } from "../worker/mod.ts";
import {
  type LocalCluster,
  type LocalClusterOptions,
  startLocalCluster,
} from "./local_cluster.ts";
import { type HeardOrder, type Order, submitOrder } from "./submitter.ts";
import { judge, type Verdict } from "./verdict.ts";

const CUSTOMER = "receipting";
const TOKEN = "token-of-the-test-cluster";
const LEASE_MS = 3_000;
const WORKERS_PER_ZONE = 2;
const SLOTS = 8;
const CALLERS = 8;
const PATIENCE_MS = 90_000;

/** Kinds of work of the cluster under test. */
export type TestWork = "receipt" | "scan" | "letter" | "audit";

/**
 * Starts a small cluster, runs a test against it and ends every process.
 *
 * @param zones one zone with two entry instances per name
 */
export async function withTestCluster(
  zones: string[],
  body: (cluster: LocalCluster) => Promise<void>,
  changes: Partial<LocalClusterOptions> = {},
): Promise<void> {
  const cluster = await startLocalCluster({
    region: "tasmania",
    zones,
    instancesPerZone: 2,
    workers: zones.flatMap(workersOf),
    manifest: testManifest(),
    customers: { [CUSTOMER]: TOKEN },
    sections: {
      lease: { heartbeat_ms: 200, dead_after_ms: 1_000, renew_wait_ms: 500 },
    },
    ...changes,
  });
  try {
    await body(cluster);
  } finally {
    await cluster.close();
  }
}

/** Builds orders of one kind, each with an output of its own. */
export function testOrders(
  work: TestWork,
  count: number,
  runMs: number,
  tasks = 1,
): Order[] {
  return Array.from({ length: count }, (_order, number) => ({
    key: `${work}-${number}`,
    token: TOKEN,
    submission: {
      agreement: CUSTOMER,
      work,
      tasks: Array.from({ length: tasks }, (_task, index) => ({
        payload: { runMs, output: `${work} ${number}/${index}` },
      })),
    },
  }));
}

/**
 * Submits orders from several callers at once.
 *
 * @param onHeard called with the number of final outcomes after each one
 * @param urls where callers are sent; by default to every instance
 */
export async function submitOrders(
  cluster: LocalCluster,
  orders: Order[],
  onHeard: (count: number) => void = () => {},
  urls = () => cluster.instances.map((instance) => instance.url),
): Promise<HeardOrder[]> {
  const options = { api: cluster.api, urls, patienceMs: PATIENCE_MS };
  const heard: HeardOrder[] = [];
  let next = 0;

  async function runCaller(): Promise<void> {
    while (next < orders.length) {
      const index = next;
      next += 1;
      heard.push(await submitOrder(options, orders[index]!, index));
      onHeard(heard.length);
    }
  }

  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  return heard;
}

/** Judges orders by the workers' records as they stand now. */
export async function verdictOf(
  cluster: LocalCluster,
  heard: HeardOrder[],
): Promise<Verdict> {
  return judge(await cluster.audits(), heard);
}

function workersOf(zone: string): WorkerOptions[] {
  return Array.from({ length: WORKERS_PER_ZONE }, (_worker, index) => ({
    id: `${zone}-worker-${index + 1}`,
    zone,
    region: "tasmania",
    rack: `${zone}-a`,
    capacity: {
      resources: { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 4 },
      slots: SLOTS,
      connections: 64,
    },
    leaseMs: LEASE_MS,
  }));
}

function testManifest(): Manifest {
  const share = { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 16 };
  const work: WorkKind[] = [
    workOf("receipt", { kind: "batch" }, false, false),
    workOf("scan", { kind: "batch" }, true, false),
    workOf("letter", { kind: "batch" }, false, true),
    workOf("audit", { kind: "gang", holdMs: 10_000 }, true, false),
  ];
  return {
    customers: [{ name: CUSTOMER }],
    agreements: [{ name: CUSTOMER, customer: CUSTOMER, share, work }],
  };
}

function workOf(
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
    idempotent,
    durable,
    demand,
    durationMs,
    urgency: 7,
  };
}
