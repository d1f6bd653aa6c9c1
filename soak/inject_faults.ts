import { setTimeout as delay } from "node:timers/promises";
import {
  type LocalCluster,
  type LocalInstance,
  restartInstance,
  waitUntilReady,
} from "../stand_ins/local_cluster/mod.ts";
import { findOwnerAddress } from "../stand_ins/platform/store.ts";
import { restartWorker } from "../stand_ins/platform/restart_worker.ts";
import type { InjectedFault, PlannedFault } from "./fault.ts";
import type { FaultProxy, ProxyMode } from "./fault_proxy.ts";

/** The cluster and the proxies that faults are injected into. */
export type FaultTargets = {
  cluster: LocalCluster;
  /** The proxy in front of the store, by instance. */
  storeProxies: FaultProxy[];
  /** The proxy in front of each worker. */
  workerProxies: FaultProxy[];
};

/** Injects the planned faults, each at its time; they may overlap. */
export async function injectFaults(
  targets: FaultTargets,
  plan: PlannedFault[],
): Promise<void> {
  await Promise.all(plan.map(async ({ atMs, durationMs, fault }) => {
    await delay(atMs);
    await applyFault(targets, fault, durationMs);
  }));
}

/** Ends all faults and waits until every instance is ready. */
export async function clearFaults(targets: FaultTargets): Promise<void> {
  const { cluster, storeProxies, workerProxies } = targets;
  setMode([...storeProxies, ...workerProxies], { kind: "passing" });
  for (const instance of cluster.instances) {
    instance.program.signal("SIGCONT");
    ensureRunning(instance);
  }
  for (const instance of cluster.instances) {
    await waitUntilReady(cluster.api, instance);
  }
}

async function applyFault(
  targets: FaultTargets,
  fault: InjectedFault,
  durationMs: number,
): Promise<void> {
  const { instances } = targets.cluster;
  switch (fault.kind) {
    case "killed":
      return await killAndRestart([instances[fault.instance]!], durationMs);
    case "ownerKilled": {
      const owner = findOwner(targets.cluster);
      if (owner === undefined) return;
      return await killAndRestart([owner], durationMs);
    }
    case "allKilled":
      return await killAndRestart(instances, durationMs);
    case "paused": {
      const { program } = instances[fault.instance]!;
      program.signal("SIGSTOP");
      await delay(durationMs);
      program.signal("SIGCONT");
      return;
    }
    case "stopped": {
      const instance = instances[fault.instance]!;
      instance.program.signal("SIGTERM");
      await Promise.all([instance.program.exited, delay(durationMs)]);
      ensureRunning(instance);
      return;
    }
    case "store":
      return await setModeFor(
        [targets.storeProxies[fault.instance]!],
        fault.proxyMode,
        durationMs,
      );
    case "wholeStore":
      return await setModeFor(
        targets.storeProxies,
        fault.proxyMode,
        durationMs,
      );
    case "worker":
      return await setModeFor(
        [targets.workerProxies[fault.worker]!],
        fault.proxyMode,
        durationMs,
      );
    case "workerRestarted":
      return await restartAndCut(targets, fault, durationMs);
  }
}

/** Restarts a worker, and cuts it off afterwards if that is planned. */
async function restartAndCut(
  { cluster, workerProxies }: FaultTargets,
  fault: Extract<InjectedFault, { kind: "workerRestarted" }>,
  downMs: number,
): Promise<void> {
  const { worker, cut } = fault;
  await restartWorker(cluster.platform.workerProcesses[worker]!, downMs);
  if (cut === undefined) return;
  await delay(cut.afterMs);
  await setModeFor(
    [workerProxies[worker]!],
    { kind: "silent" },
    cut.durationMs,
  );
}

/** Returns the instance that owns the domains, if the group has a member. */
function findOwner(
  { platform, instances }: LocalCluster,
): LocalInstance | undefined {
  const owner = findOwnerAddress(platform.store);
  return instances.find(({ ports }) => owner?.endsWith(`:${ports.peers}`));
}

async function killAndRestart(
  instances: LocalInstance[],
  durationMs: number,
): Promise<void> {
  for (const { program } of instances) program.signal("SIGKILL");
  await Promise.all(instances.map(({ program }) => program.exited));
  await delay(durationMs);
  for (const instance of instances) ensureRunning(instance);
}

function ensureRunning(instance: LocalInstance): void {
  if (instance.program.hasExited()) restartInstance(instance);
}

async function setModeFor(
  proxies: FaultProxy[],
  mode: ProxyMode,
  durationMs: number,
): Promise<void> {
  setMode(proxies, mode);
  await delay(durationMs);
  setMode(proxies, { kind: "passing" });
}

function setMode(proxies: FaultProxy[], mode: ProxyMode): void {
  for (const proxy of proxies) proxy.setMode(mode);
}
