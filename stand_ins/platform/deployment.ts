import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts } from "../local_cluster/free_ports.ts";
import { type Daemon, PORTS_PER_DAEMON, startDaemon } from "./daemon.ts";
import { type Platform, startPlatform, type StoreAccess } from "./platform.ts";
import { findOwnerAddress } from "./store.ts";

const DEFAULT_PARTITIONS = 2;
const CAPACITY = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 };

/** Options for `startDeployment`. */
export type DeploymentOptions = {
  /** Path of the daemon's JavaScript file. */
  program: string;
  instanceCount: number;
  workerCount: number;
  /** How long the store takes for each call, in milliseconds; 0 if absent. */
  storeDelayMs?: number;
  /** Node.js options of the daemons. */
  nodeArguments?: string[];
  /** What each daemon may take; the defaults of the settings if absent. */
  machine?: { memoryMb: number; descriptors: number };
  /** Whether the daemons serve the product's own API. */
  hasApi?: boolean;
  /** Number of domains. */
  partitions?: number;
  /** The services that the workers belong to in turn; `desk` if absent. */
  services?: string[];
  /** How long each task runs, in milliseconds. */
  taskDurationMs: number;
  /** Further sections of the instances' settings, in INI; none if absent. */
  settings?: string;
  /** The configuration, in the format of the platform. */
  configuration: object;
};

/** Daemons as separate processes, on stand-ins of the platform. */
export type Deployment = {
  platform: Platform;
  instances: Daemon[];
  /** The store's address of each instance. */
  stores: StoreAccess[];
  folder: string;
  /** Starts a daemon at each of the addresses. */
  startInstances(): Daemon[];
};

/**
 * Starts daemons against a store, and workers.
 *
 * @example
 * ```ts
 * const deployment = await startDeployment(options);
 * await stopDeployment(deployment);
 * ```
 */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const { program, instanceCount, workerCount, taskDurationMs } = options;
  const { services = ["desk"], partitions = DEFAULT_PARTITIONS } = options;
  const { storeDelayMs = 0, nodeArguments = [], hasApi = false } = options;
  const portsPerDaemon = hasApi ? PORTS_PER_DAEMON + 1 : PORTS_PER_DAEMON;
  const folder = mkdtempSync(join(tmpdir(), "samphirestage-"));
  const platform = await startPlatform({
    partitions,
    workers: Array.from({ length: workerCount }, (_, index) => ({
      id: `w${index}`,
      service: services[index % services.length]!,
      zone: "a",
      rack: "r1",
      capacity: CAPACITY,
    })),
    durationMs: () => taskDurationMs,
    storeDelayMs,
    configuration: options.configuration,
  });
  // Ports are chosen together: a daemon holds none until it listens, so a later
  // search could return the same port.
  const ports = await findFreePorts(instanceCount * portsPerDaemon);
  const stores = await Promise.all(
    Array.from({ length: instanceCount }, () => platform.openStore()),
  );
  const startInstances = () =>
    Array.from(
      { length: instanceCount },
      (_, index) =>
        startDaemon({
          program,
          folder,
          number: index,
          ports: ports.slice(index * portsPerDaemon),
          nodeArguments,
          hasApi,
          ...(options.machine === undefined
            ? {}
            : { machine: options.machine }),
          store: stores[index]!.address,
          partitions,
          advice: "",
          settings: options.settings ?? "",
        }),
    );
  const instances = startInstances();
  return { platform, instances, stores, folder, startInstances };
}

/**
 * Kills all daemons at once and starts them again.
 *
 * @param whileDown called while no daemon runs
 */
export async function restartInstances(
  deployment: Deployment,
  whileDown: () => void = () => {},
): Promise<void> {
  await Promise.all(deployment.instances.map(endProcess));
  whileDown();
  deployment.instances = deployment.startInstances();
}

/** Kills the daemons, and stops the stand-ins once they have ended. */
export async function stopDeployment(
  { platform, instances, stores, folder }: Deployment,
): Promise<void> {
  await Promise.all(instances.map(endProcess));
  for (const store of stores) store.isConfigurationHeld = false;
  platform.close();
  rmSync(folder, { recursive: true, force: true });
}

/** Returns the instance that owns the domains, if the group has a member. */
export function findOwner(
  platform: Platform,
  instances: Daemon[],
): Daemon | undefined {
  const owner = findOwnerAddress(platform.store);
  return instances.find(({ peerAddress }) => peerAddress === owner);
}

/** Kills one daemon. */
export async function endProcess({ child }: Daemon): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = once(child, "close");
  child.kill("SIGKILL");
  await ended;
}
