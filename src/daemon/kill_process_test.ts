import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type LocalCluster,
  type LocalInstance,
  submitOrders,
  testOrders,
  verdictOf,
  waitUntil,
  withTestCluster,
} from "../../stand_ins/local_cluster/mod.ts";

const ORDERS = 80;
const KILL_AFTER = 20;
const PATIENCE_MS = 60_000;
/** Long enough that every caller has a task running, below the lease. */
const LONG_RUN_MS = 500;
/** Time for callers to ask about the lost home while its workers are away. */
const ASKING_MS = 3_000;

test("process: a killed instance loses and doubles nothing", async () => {
  await withTestCluster(["hobart", "burnie"], async (cluster) => {
    const victim = cluster.instances[0]!;
    const orders = testOrders("receipt", ORDERS, 100);
    const heard = await submitOrders(cluster, orders, (count) => {
      if (count === KILL_AFTER) victim.program.signal("SIGKILL");
    });
    assert.equal(await victim.program.exited, "SIGKILL");
    const verdict = await verdictOf(cluster, heard);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.overCapacity, 0);
    assert.equal(verdict.ran, ORDERS);
  });
});

test("process: a killed instance is not judged without its workers", async () => {
  await withTestCluster(["hobart", "burnie"], async (cluster) => {
    const [victim, survivor] = instancesOf(cluster, "hobart");
    const everywhere = cluster.instances.map((instance) => instance.url);
    let urls = [victim!.url];
    let workersAreBack = Promise.resolve();
    const orders = testOrders("receipt", ORDERS, LONG_RUN_MS);
    const heard = await submitOrders(cluster, orders, (count) => {
      if (count !== KILL_AFTER) return;
      victim!.program.signal("SIGKILL");
      urls = everywhere;
      workersAreBack = cutOffWorkers(cluster, survivor!);
    }, () => urls);
    await workersAreBack;
    const verdict = await verdictOf(cluster, heard);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.ran, ORDERS);
  });
});

/** Keeps a zone's workers away until its survivor has barred the victim. */
async function cutOffWorkers(
  cluster: LocalCluster,
  survivor: LocalInstance,
): Promise<void> {
  const workers = cluster.workers.filter(({ id }) =>
    id.startsWith(survivor.zone)
  );
  for (const { url } of workers) await cluster.control(url, { down: true });
  await waitUntil("the victim is barred", PATIENCE_MS, async () => {
    const url = `${survivor.url}/v1/operator/timeline?after=0`;
    const reply = await cluster.api.call("GET", url, {
      token: cluster.operatorToken,
    });
    return JSON.stringify(reply).includes("member.barred");
  });
  await delay(ASKING_MS);
  for (const { url } of workers) await cluster.control(url, { down: false });
}

function instancesOf(cluster: LocalCluster, zone: string): LocalInstance[] {
  return cluster.instances.filter((instance) => instance.zone === zone);
}
