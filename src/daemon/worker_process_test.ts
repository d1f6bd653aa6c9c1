import assert from "node:assert/strict";
import { test } from "node:test";
import {
  submitOrders,
  testOrders,
  verdictOf,
  withTestCluster,
} from "../../stand_ins/local_cluster/mod.ts";

const ORDERS = 60;
const FAULT_AFTER = 15;

test("process: idempotent work of a dead worker runs elsewhere", async () => {
  await withTestCluster(["hobart"], async (cluster) => {
    const orders = testOrders("scan", ORDERS, 200);
    const heard = await submitOrders(cluster, orders, (count) => {
      if (count !== FAULT_AFTER) return;
      const { url } = cluster.workers[0]!;
      cluster.control(url, { crash: true, down: true });
    });
    const verdict = await verdictOf(cluster, heard);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.overCapacity, 0);
    assert.equal(verdict.ran, ORDERS);
  });
});

test("process: a leaving worker ends its tasks and gets no others", async () => {
  await withTestCluster(["hobart"], async (cluster) => {
    const leaving = cluster.workers[0]!;
    let startedBefore = Number.POSITIVE_INFINITY;
    const orders = testOrders("receipt", ORDERS, 100);
    const heard = await submitOrders(cluster, orders, (count) => {
      if (count !== FAULT_AFTER) return;
      // The list does not tell; only the worker itself does.
      cluster.control(leaving.url, { leaving: true })
        .then(() => cluster.audits())
        .then((audits) => startedBefore = startsOn(audits, leaving.id));
    });
    const verdict = await verdictOf(cluster, heard);
    const started = startsOn(await cluster.audits(), leaving.id);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.ran, ORDERS);
    assert.equal(started, startedBefore);
  });
});

function startsOn(
  audits: { worker: string; runs: unknown[] }[],
  worker: string,
): number {
  return audits.find((audit) => audit.worker === worker)?.runs.length ?? 0;
}
