import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type LocalCluster,
  submitOrders,
  testOrders,
  verdictOf,
  waitUntil,
  withTestCluster,
} from "../../stand_ins/local_cluster/mod.ts";

const ORDERS = 60;
const KILL_AFTER = 15;
const PATIENCE_MS = 60_000;
const ZONE = ["hobart"];

test("process: a successor killed in its takeover loses nothing", async () => {
  await withTestCluster(ZONE, async (cluster) => {
    const victim = cluster.instances[0]!;
    let successorIsDead = Promise.resolve();
    const orders = testOrders("receipt", ORDERS, 200);
    const heard = await submitOrders(cluster, orders, (count) => {
      if (count !== KILL_AFTER) return;
      victim.program.signal("SIGKILL");
      successorIsDead = killSuccessor(cluster, victim.id);
    });
    await successorIsDead;
    const verdict = await verdictOf(cluster, heard);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.overCapacity, 0);
    assert.equal(verdict.ran, ORDERS);
  }, { instancesPerZone: 3 });
});

/** Kills the first instance that takes a worker of the victim. */
async function killSuccessor(
  cluster: LocalCluster,
  victim: string,
): Promise<void> {
  const before = await holders(cluster);
  let successor = "";
  await waitUntil("a worker is taken over", PATIENCE_MS, async () => {
    const now = await holders(cluster);
    const taken = before.findIndex((holder, index) =>
      holder === victim && now[index] !== victim
    );
    successor = now[taken] ?? "";
    return taken >= 0;
  });
  cluster.instances.find(({ id }) => id === successor)?.program
    .signal("SIGKILL");
}

/** Ids of the instances that hold the workers, in the workers' order. */
async function holders(cluster: LocalCluster): Promise<string[]> {
  const audits = await cluster.audits();
  return audits.map((audit) => audit.lease.holder.split("/")[0] ?? "");
}
