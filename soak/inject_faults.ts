import { setTimeout as delay } from "node:timers/promises";
import {
  type LocalCluster,
  type LocalInstance,
  restartInstance,
  waitUntilReady,
} from "../stand_ins/local_cluster/mod.ts";
import type { Fault, PlannedFault } from "./fault.ts";
import type { FaultProxy, Treatment } from "./fault_proxy.ts";

/** What faults act on. */
export type Battlefield = {
  cluster: LocalCluster;
  /** In front of the store, for each instance. */
  storeProxies: FaultProxy[];
  /** In front of each worker. */
  workerProxies: FaultProxy[];
};

/** Brings the planned faults about, each at its time; they may overlap. */
export async function injectFaults(
  field: Battlefield,
  plan: PlannedFault[],
): Promise<void> {
  await Promise.all(plan.map(async ({ atMs, lastsMs, fault }) => {
    await delay(atMs);
    await bringAbout(field, fault, lastsMs);
  }));
}

/** Ends every fault, and waits until all instances take requests. */
export async function heal(field: Battlefield): Promise<void> {
  const { cluster, storeProxies, workerProxies } = field;
  treat([...storeProxies, ...workerProxies], { kind: "passing" });
  for (const instance of cluster.instances) {
    instance.program.signal("SIGCONT");
    ensureRunning(instance);
  }
  for (const instance of cluster.instances) {
    await waitUntilReady(cluster.api, instance);
  }
}

async function bringAbout(
  field: Battlefield,
  fault: Fault,
  lastsMs: number,
): Promise<void> {
  const { instances } = field.cluster;
  switch (fault.kind) {
    case "killed":
      return await kill([instances[fault.instance]!], lastsMs);
    case "allKilled":
      return await kill(instances, lastsMs);
    case "paused": {
      const { program } = instances[fault.instance]!;
      program.signal("SIGSTOP");
      await delay(lastsMs);
      program.signal("SIGCONT");
      return;
    }
    case "stopped": {
      const instance = instances[fault.instance]!;
      instance.program.signal("SIGTERM");
      await Promise.all([instance.program.exited, delay(lastsMs)]);
      ensureRunning(instance);
      return;
    }
    case "store":
      return await treatFor(
        [field.storeProxies[fault.instance]!],
        fault.treatment,
        lastsMs,
      );
    case "wholeStore":
      return await treatFor(field.storeProxies, fault.treatment, lastsMs);
    case "worker":
      return await treatFor(
        [field.workerProxies[fault.worker]!],
        fault.treatment,
        lastsMs,
      );
  }
}

async function kill(
  instances: LocalInstance[],
  lastsMs: number,
): Promise<void> {
  for (const { program } of instances) program.signal("SIGKILL");
  await Promise.all(instances.map(({ program }) => program.exited));
  await delay(lastsMs);
  for (const instance of instances) ensureRunning(instance);
}

function ensureRunning(instance: LocalInstance): void {
  if (instance.program.hasExited()) restartInstance(instance);
}

async function treatFor(
  proxies: FaultProxy[],
  treatment: Treatment,
  lastsMs: number,
): Promise<void> {
  treat(proxies, treatment);
  await delay(lastsMs);
  treat(proxies, { kind: "passing" });
}

function treat(proxies: FaultProxy[], treatment: Treatment): void {
  for (const proxy of proxies) proxy.treat(treatment);
}
