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

const ORDERS = 40;
/** More tasks at once than there are slots, so that some wait. */
const TASKS_PER_ORDER = 8;
const PAUSE_AFTER = 10;
const PATIENCE_MS = 60_000;

test("process: an instance paused past its leases doubles nothing", async () => {
  await withTestCluster(["hobart", "burnie"], async (cluster) => {
    const paused = cluster.instances[0]!;
    let goOn = Promise.resolve();
    const orders = testOrders("receipt", ORDERS, 300, TASKS_PER_ORDER);
    const heard = await submitOrders(cluster, orders, (count) => {
      if (count !== PAUSE_AFTER) return;
      paused.program.signal("SIGSTOP");
      goOn = takeover(cluster, paused.id)
        .finally(() => paused.program.signal("SIGCONT"));
    });
    await goOn;
    await waitUntil("the instance is ready again", PATIENCE_MS, async () => {
      const reply = await cluster.api.call("GET", `${paused.url}/readyz`);
      return reply.kind === "answered" && reply.status === 200;
    });
    const scans = testOrders("scan", 1, 10);
    const again = await submitOrders(cluster, scans, () => {}, () => [
      paused.url,
    ]);
    const verdict = await verdictOf(cluster, [...heard, ...again]);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.overCapacity, 0);
    assert.equal(verdict.ran, ORDERS + scans.length);
  });
});

/** Waits until no worker is held by an instance. */
function takeover(cluster: LocalCluster, instance: string): Promise<void> {
  return waitUntil("others take its workers", PATIENCE_MS, async () => {
    const audits = await cluster.audits();
    const holders = audits.map((audit) => audit.lease.holder);
    return !holders.some((holder) => holder.startsWith(`${instance}/`));
  });
}
