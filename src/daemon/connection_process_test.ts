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
/** Starts and renewals lose their answers, so that nothing else tells. */
const LOST_ANSWERS = 20;

test("process: lost answers of workers double nothing", async () => {
  await withTestCluster(["hobart"], async (cluster) => {
    const heard = await submitOrders(
      cluster,
      testOrders("receipt", ORDERS, 50),
      (count) => {
        if (count !== FAULT_AFTER) return;
        const body = { loseAnswers: LOST_ANSWERS };
        cluster.control(cluster.workers[0]!.url, body);
      },
    );
    const verdict = await verdictOf(cluster, heard);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.ran, ORDERS);
  });
});

test("process: connections that go silent lose nothing", async () => {
  await withTestCluster(["hobart"], async (cluster) => {
    const heard = await submitOrders(
      cluster,
      testOrders("receipt", ORDERS, 50),
      (count) => {
        if (count !== FAULT_AFTER) return;
        const urls = cluster.workers.map((worker) => worker.url);
        for (const url of [...urls, cluster.logUrl, cluster.listUrl]) {
          cluster.control(url, { silent: true });
        }
      },
    );
    const verdict = await verdictOf(cluster, heard);
    assert.deepEqual(verdict.faults, []);
    assert.equal(verdict.ran, ORDERS);
  });
});
