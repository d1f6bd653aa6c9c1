/**
 * Whole clusters of real processes, each disturbed while it works. Every order
 * has to run once, and its caller has to hear so.
 */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "node:test";
import {
  checkCluster,
  type LocalCluster,
  type LocalInstance,
  submitWorkItems,
  testWorkItems,
  withTestCluster,
} from "./mod.ts";

const SINGLE_TASK_ITEMS = 60;
/** Orders that are heard of before the disturbance begins. */
const RESULTS_BEFORE_FAULT = 15;
/** How long a disturbance lasts that ends by itself, in milliseconds. */
const FAULT_MS = 3_000;
const RUN_MS = 300;

const EXPECTED = {
  submitted: SINGLE_TASK_ITEMS + SINGLE_TASK_ITEMS / 2,
  twice: 0,
  lost: 0,
  overCapacity: 0,
};

async function checkUnderFault(
  injectFault: (cluster: LocalCluster) => Promise<void>,
): Promise<void> {
  await withTestCluster(["hobart", "launceston"], async (cluster) => {
    let faultInjection: Promise<void> | undefined;
    const workItems = [
      ...testWorkItems("scan", SINGLE_TASK_ITEMS, RUN_MS),
      ...testWorkItems("audit", SINGLE_TASK_ITEMS / 2, RUN_MS, 3),
    ];
    const results = await submitWorkItems(cluster, workItems, (count) => {
      if (count >= RESULTS_BEFORE_FAULT) {
        faultInjection ??= injectFault(cluster);
      }
    });
    await faultInjection;
    const { violations, ran, ...counts } = checkCluster(cluster, results);
    assert.deepEqual(violations, []);
    assert.deepEqual(counts, EXPECTED);
    assert.equal(ran, EXPECTED.submitted);
    const clientErrors = results.flatMap((result) => result.clientErrors);
    assert.deepEqual(clientErrors, []);
  });
}

/** The instance that owns the domains; its peers' address names it. */
function ownerOf({ instances, platform }: LocalCluster): LocalInstance {
  const [group] = platform.store.groups.values();
  const ownerAddress = group?.owners.find((member) => member !== undefined);
  const found = instances.find(({ ports }) =>
    ownerAddress?.endsWith(`:${ports.peers}`)
  );
  return found ?? assert.fail("No instance owns the domains.");
}

test("cluster: an owner is killed with work in flight", () =>
  checkUnderFault((cluster) => {
    ownerOf(cluster).program.signal("SIGKILL");
    return Promise.resolve();
  }));

test("cluster: an owner is paused for longer than its ownership", () =>
  checkUnderFault(async (cluster) => {
    const { program } = ownerOf(cluster);
    program.signal("SIGSTOP");
    await delay(FAULT_MS);
    program.signal("SIGCONT");
  }));

test("cluster: an owner is stopped as planned", () =>
  checkUnderFault(async (cluster) => {
    const { program } = ownerOf(cluster);
    program.signal("SIGTERM");
    assert.equal(await program.exited, 0);
  }));

test("cluster: the store gives no answers for a while", () =>
  checkUnderFault(async ({ platform }) => {
    platform.isStoreUnresponsive = true;
    await delay(FAULT_MS);
    platform.isStoreUnresponsive = false;
  }));
