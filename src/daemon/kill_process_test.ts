import assert from "node:assert/strict";
import { test } from "node:test";
import {
  submitOrders,
  testOrders,
  verdictOf,
  withTestCluster,
} from "../../stand_ins/local_cluster/mod.ts";

const ORDERS = 80;
const KILL_AFTER = 20;

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
