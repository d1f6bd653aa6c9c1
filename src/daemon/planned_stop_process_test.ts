import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type LocalCluster,
  submitOrders,
  testOrders,
  verdictOf,
  waitUntil,
  withTestCluster,
} from "../../stand_ins/local_cluster/mod.ts";

const ORDERS = 120;
const STOP_AFTER = 30;
const BALANCER_INTERVAL_MS = 50;
const PATIENCE_MS = 60_000;
/** Far above the patience: nothing but the work may hold the stop up. */
const STOP_GRACE_MS = 600_000;
const SECTIONS = {
  lease: { heartbeat_ms: 200, dead_after_ms: 1_000, renew_wait_ms: 500 },
  limits: { stop_grace_ms: STOP_GRACE_MS },
};

test("process: a planned stop under load cuts nothing off", async () => {
  await withTestCluster(["hobart", "burnie"], async (cluster) => {
    const stopping = cluster.instances[0]!;
    const balancer = startBalancer(cluster);
    const heard = await submitOrders(
      cluster,
      testOrders("receipt", ORDERS, 100),
      (count) => {
        if (count === STOP_AFTER) stopping.program.signal("SIGTERM");
      },
      balancer.urls,
    );
    await waitUntil(
      "the instance has stopped",
      PATIENCE_MS,
      stopping.program.hasExited,
    );
    const code = await stopping.program.exited;
    await balancer.stop();
    const verdict = await verdictOf(cluster, heard);
    const cuts = heard.flatMap((order) => order.cuts);
    assert.deepEqual(verdict.faults, []);
    assert.deepEqual(cuts, []);
    assert.equal(verdict.ran, ORDERS);
    assert.equal(code, 0, stopping.program.output());
  }, { sections: SECTIONS });
});

/** Polls readiness, and sends callers to ready instances only. */
function startBalancer(cluster: LocalCluster) {
  let urls = cluster.instances.map((instance) => instance.url);
  let isStopped = false;

  async function poll(): Promise<void> {
    while (!isStopped) {
      const ready = await Promise.all(cluster.instances.map(async ({ url }) => {
        const reply = await cluster.api.call("GET", `${url}/readyz`);
        return reply.kind === "answered" && reply.status === 200 ? [url] : [];
      }));
      urls = ready.flat();
      await delay(BALANCER_INTERVAL_MS);
    }
  }

  const polling = poll();
  return {
    urls: () => urls,
    stop() {
      isStopped = true;
      return polling;
    },
  };
}
