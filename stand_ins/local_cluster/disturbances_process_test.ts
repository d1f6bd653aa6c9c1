/**
 * Whole clusters of real processes, each disturbed while it works. Every order
 * has to run once, and its caller has to hear so.
 */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "node:test";
import {
  type LocalCluster,
  type LocalInstance,
  submitOrders,
  testOrders,
  verdictOf,
  withTestCluster,
} from "./mod.ts";

const ORDERS = 60;
/** Orders that are heard of before the disturbance begins. */
const BEFORE = 15;
/** How long a disturbance lasts that ends by itself, in milliseconds. */
const DISTURBED_MS = 3_000;
const RUN_MS = 300;

const EXPECTED = {
  submitted: ORDERS + ORDERS / 2,
  twice: 0,
  lost: 0,
  overCapacity: 0,
};

async function check(
  disturb: (cluster: LocalCluster) => Promise<void>,
): Promise<void> {
  await withTestCluster(["hobart", "launceston"], async (cluster) => {
    let disturbance: Promise<void> | undefined;
    const orders = [
      ...testOrders("scan", ORDERS, RUN_MS),
      ...testOrders("audit", ORDERS / 2, RUN_MS, 3),
    ];
    const heard = await submitOrders(cluster, orders, (count) => {
      if (count >= BEFORE) disturbance ??= disturb(cluster);
    });
    await disturbance;
    const { faults, ran, ...verdict } = verdictOf(cluster, heard);
    assert.deepEqual(faults, []);
    assert.deepEqual(verdict, EXPECTED);
    assert.equal(ran, EXPECTED.submitted);
    const complaints = heard.flatMap((order) => order.complaints);
    assert.deepEqual(complaints, []);
  });
}

/** The instance that owns the domains; its peers' address names it. */
function ownerOf({ instances, platform }: LocalCluster): LocalInstance {
  const [group] = platform.store.groups.values();
  const holder = group?.holders.find((member) => member !== undefined);
  const found = instances.find(({ ports }) =>
    holder?.endsWith(`:${ports.peers}`)
  );
  return found ?? assert.fail("No instance owns the domains.");
}

test("cluster: an owner is killed with work in flight", () =>
  check((cluster) => {
    ownerOf(cluster).program.signal("SIGKILL");
    return Promise.resolve();
  }));

test("cluster: an owner is paused for longer than its ownership", () =>
  check(async (cluster) => {
    const { program } = ownerOf(cluster);
    program.signal("SIGSTOP");
    await delay(DISTURBED_MS);
    program.signal("SIGCONT");
  }));

test("cluster: an owner is stopped as planned", () =>
  check(async (cluster) => {
    const { program } = ownerOf(cluster);
    program.signal("SIGTERM");
    assert.equal(await program.exited, 0);
  }));

test("cluster: the store gives no answers for a while", () =>
  check(async ({ platform }) => {
    platform.isStoreSilent = true;
    await delay(DISTURBED_MS);
    platform.isStoreSilent = false;
  }));
