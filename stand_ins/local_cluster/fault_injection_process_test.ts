/**
 * Runs clusters of real processes and injects one fault into each while it
 * works. No work item may be lost, duplicated or reported wrongly.
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
/** Number of final results after which the fault is injected. */
const RESULTS_BEFORE_FAULT = 15;
/**
 * Duration of a temporary fault; longer than the instances' membership TTL.
 */
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

/** Finds the instance that owns the domains, by its peer address. */
function ownerOf({ instances, platform }: LocalCluster): LocalInstance {
  const [group] = platform.store.groups.values();
  const ownerAddress = group?.owners.find((member) => member !== undefined);
  const found = instances.find(({ ports }) =>
    ownerAddress?.endsWith(`:${ports.peers}`)
  );
  return found ?? assert.fail("No instance owns the domains.");
}

test("cluster: no work is lost or duplicated when an owner is killed with work in flight", () =>
  checkUnderFault((cluster) => {
    ownerOf(cluster).program.signal("SIGKILL");
    return Promise.resolve();
  }));

test("cluster: no work is lost or duplicated when an owner is paused until its membership expires", () =>
  checkUnderFault(async (cluster) => {
    const { program } = ownerOf(cluster);
    program.signal("SIGSTOP");
    await delay(FAULT_MS);
    program.signal("SIGCONT");
  }));

test("cluster: no work is lost or duplicated when an owner shuts down gracefully", () =>
  checkUnderFault(async (cluster) => {
    const { program } = ownerOf(cluster);
    program.signal("SIGTERM");
    assert.equal(await program.exited, 0);
  }));

test("cluster: no work is lost or duplicated when the store stops responding for a while", () =>
  checkUnderFault(async ({ platform }) => {
    platform.isStoreUnresponsive = true;
    await delay(FAULT_MS);
    platform.isStoreUnresponsive = false;
  }));
