import assert from "node:assert/strict";
import { test } from "node:test";
import {
  submitOrders,
  testOrders,
  verdictOf,
  withTestCluster,
} from "../../stand_ins/local_cluster/mod.ts";

const ORDERS = 30;

test("process: receipts and letters go on while the log is down", async () => {
  await withTestCluster(["hobart"], async (cluster) => {
    await cluster.control(cluster.logUrl, { down: true });
    const orders = [
      ...testOrders("receipt", ORDERS, 50),
      ...testOrders("letter", ORDERS, 50),
    ];
    const heard = await submitOrders(cluster, orders);
    const verdict = await verdictOf(cluster, heard);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.ran, orders.length);
    await cluster.control(cluster.logUrl, { down: false });
    const after = await submitOrders(cluster, testOrders("letter", 1, 10));
    const verdictAfter = await verdictOf(cluster, [...heard, ...after]);
    assert.deepEqual(verdictAfter.faults, []);
  });
});
