/**
 * Runs a cluster of real processes under load with injected faults, and checks
 * the outcomes reported to callers against the workers' own records.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { createRandomness } from "../src/clients/mod.ts";
import type { Randomness } from "../src/hosts/mod.ts";
import {
  checkExecution,
  startLocalCluster,
  submitWorkItem,
  testClusterOptions,
  type TestWork,
  testWorkItems,
  workerHistories,
  type WorkItem,
  type WorkItemResult,
} from "../stand_ins/local_cluster/mod.ts";
import { checkDeadlyRequests } from "./check_deadly_requests.ts";
import { checkTrackedRequests } from "./check_tracked_requests.ts";
import type { PlannedFault } from "./fault.ts";
import { type FaultProxy, startFaultProxy } from "./fault_proxy.ts";
import { type TrackedRequest, trackRequest } from "./track_request.ts";
import {
  clearFaults,
  type FaultTargets,
  injectFaults,
} from "./inject_faults.ts";
import {
  planFaults,
  planRestarts,
  type RestartPlanOptions,
} from "./plan_faults.ts";
import { watchManifestVersions } from "./watch_manifest_versions.ts";

const ZONES = ["hobart", "launceston", "burnie"];
const CHECK_INTERVAL_MS = 250;
/** Time limit for final outcomes after the planned length of the run. */
const RESOLUTION_TIMEOUT_MS = 45_000;
const MAX_RUN_MS = 800;
const MIN_LONG_RUN_MS = 3_000;
const MAX_LONG_RUN_MS = 9_000;
const LONG_PERCENT = 10;
const MAX_CANCEL_DELAY_MS = 600;
const GANG_SIZE = 3;

/** Options for `runSoak`. */
export type SoakOptions = {
  seed: number;
  /** Duration of the load and the faults, in milliseconds. */
  durationMs: number;
  /** Number of concurrent callers. */
  callers: number;
  /** Workers restart under their ids in place of the other faults. */
  restarts?: RestartOptions;
};

/** Options for workers that restart. */
export type RestartOptions = Omit<RestartPlanOptions, "durationMs"> & {
  /** Percentage of the jobs that crash each worker that starts them. */
  deadlyPercent: number;
};

/** Result of a run. */
export type SoakResult = {
  seed: number;
  plan: PlannedFault[];
  /** Violated guarantees, one line each. */
  violations: string[];
  /** Times of submission and final result, in ms after the start. */
  workItems: { atMs: number; finalAtMs: number }[];
  /** Output of the instances, by instance id. */
  logs: Map<string, string>;
};

/** Runs the load and the faults of one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs } = options;
  const storeProxies: FaultProxy[] = [];
  const workerProxies: FaultProxy[] = [];
  const cluster = await startLocalCluster({
    ...testClusterOptions(ZONES),
    resolveStoreAddress: (_instance, address) =>
      addProxy(storeProxies, address),
    resolveWorkerAddress: (_worker, address) =>
      addProxy(workerProxies, address),
  });
  const targets: FaultTargets = { cluster, storeProxies, workerProxies };
  const violations = new Set<string>();
  const watchController = new AbortController();
  const collectLogs = () =>
    new Map(
      cluster.instances.map(({ id, program, earlierOutput }) => [
        id,
        earlierOutput + program.output(),
      ]),
    );
  let plan: PlannedFault[] = [];
  try {
    const randomness = createRandomness(seed);
    plan = options.restarts === undefined
      ? [...planFaults(randomness, {
        instances: cluster.instances.length,
        workers: workerProxies.length,
        durationMs,
      })]
      : [...planRestarts(randomness, { ...options.restarts, durationMs })];
    const versionViolations: string[] = [];
    const watches = [
      watchExecution(targets, violations, watchController.signal),
      watchManifestVersions(cluster, versionViolations, watchController.signal),
    ];
    const load = runLoad(targets, options);
    await injectFaults(targets, plan);
    await clearFaults(targets);
    const { workItemResults, trackedRequests, deadlyRequests, workItems } =
      await load;
    watchController.abort();
    await Promise.all(watches);
    const workers = workerHistories(cluster);
    for (const violation of versionViolations) violations.add(violation);
    const check = checkExecution(workers, cluster.manifest, workItemResults);
    for (const violation of check.violations) violations.add(violation);
    const runs = workers.flatMap(({ started }) => started);
    for (const violation of checkTrackedRequests(trackedRequests, runs)) {
      violations.add(violation);
    }
    for (const violation of checkDeadlyRequests(deadlyRequests, runs)) {
      violations.add(violation);
    }
    const logs = collectLogs();
    return { seed, plan, violations: [...violations], workItems, logs };
  } catch (error) {
    violations.add(`the run did not finish: ${String(error)}`);
    const logs = collectLogs();
    return { seed, plan, violations: [...violations], workItems: [], logs };
  } finally {
    watchController.abort();
    const proxies = [...storeProxies, ...workerProxies];
    // An instance without its connections could not shut down gracefully.
    for (const proxy of proxies) proxy.setMode({ kind: "passing" });
    await cluster.close();
    for (const proxy of proxies) proxy.close();
  }
}

/** Summarizes a run in one line. */
export function describeRun(
  { seed, plan, workItems, violations }: SoakResult,
): string {
  return `seed ${seed}: ${plan.length} faults, ${workItems.length} work items, ` +
    `${violations.length} violations`;
}

async function addProxy(
  proxies: FaultProxy[],
  address: string,
): Promise<string> {
  const proxy = await startFaultProxy(address);
  proxies.push(proxy);
  return proxy.address;
}

/** Checks the workers' records repeatedly while the load runs. */
async function watchExecution(
  { cluster }: FaultTargets,
  violations: Set<string>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const { violations: found } = checkExecution(
      workerHistories(cluster),
      cluster.manifest,
      [],
    );
    for (const violation of found) violations.add(violation);
    await delay(CHECK_INTERVAL_MS);
  }
}

type LoadResult = {
  workItemResults: WorkItemResult[];
  trackedRequests: TrackedRequest[];
  deadlyRequests: TrackedRequest[];
  workItems: SoakResult["workItems"];
};

/** Submits random work items from concurrent callers until the time is over. */
async function runLoad(
  { cluster }: FaultTargets,
  { seed, durationMs, callers, restarts }: SoakOptions,
): Promise<LoadResult> {
  const result: LoadResult = {
    workItemResults: [],
    trackedRequests: [],
    deadlyRequests: [],
    workItems: [],
  };
  const startMs = performance.now();
  const urls = cluster.instances.map(({ url }) => url);
  const deadlineMs = startMs + durationMs + RESOLUTION_TIMEOUT_MS;
  await Promise.all(Array.from({ length: callers }, async (_, caller) => {
    const randomness = createRandomness(seed * 1_000 + caller);
    for (let turn = 0; performance.now() < startMs + durationMs; turn += 1) {
      const atMs = performance.now() - startMs;
      const key = `${caller}-${turn}`;
      const runMs = drawRunMs(randomness, restarts !== undefined);
      const firstInstance = randomness.integer(0, urls.length - 1);
      const isDeadly = restarts !== undefined &&
        randomness.integer(1, 100) <= restarts.deadlyPercent;
      if (isDeadly) {
        const { api } = cluster;
        const trackOptions = {
          api,
          urls,
          cancelAfterMs: undefined,
          deadlineMs,
        };
        const workItem = buildWorkItem("scan", `${key}-deadly`, runMs, 1);
        result.deadlyRequests.push(
          await trackRequest(trackOptions, markDeadly(workItem), firstInstance),
        );
      } else if (randomness.integer(0, 3) < 2) {
        const isGang = randomness.integer(0, 3) === 0;
        const workItem = isGang
          ? buildWorkItem("audit", key, runMs, GANG_SIZE)
          : buildWorkItem("scan", key, runMs, 1);
        const timeoutMs = deadlineMs - performance.now();
        const options = { api: cluster.api, urls: () => urls, timeoutMs };
        result.workItemResults.push(
          await submitWorkItem(options, workItem, firstInstance),
        );
      } else {
        const isCancelled = randomness.integer(0, 1) === 0;
        const cancelAfterMs = isCancelled
          ? randomness.integer(0, MAX_CANCEL_DELAY_MS)
          : undefined;
        const work = randomness.integer(0, 1) === 0 ? "receipt" : "scan";
        const workItem = buildWorkItem(work, key, runMs, 2);
        const trackOptions = {
          api: cluster.api,
          urls,
          cancelAfterMs,
          deadlineMs,
        };
        result.trackedRequests.push(
          await trackRequest(trackOptions, workItem, firstInstance),
        );
      }
      result.workItems.push({ atMs, finalAtMs: performance.now() - startMs });
    }
  }));
  return result;
}

/** Some tasks are long if workers restart, so that they are cut off at work. */
function drawRunMs(randomness: Randomness, hasLongTasks: boolean): number {
  const isLong = hasLongTasks && randomness.integer(1, 100) <= LONG_PERCENT;
  return isLong
    ? randomness.integer(MIN_LONG_RUN_MS, MAX_LONG_RUN_MS)
    : randomness.integer(10, MAX_RUN_MS);
}

/** Makes the tasks of a work item crash each worker that starts them. */
function markDeadly(workItem: WorkItem): WorkItem {
  const { submission } = workItem;
  const tasks = submission.tasks.map((task) => ({
    ...task,
    payload: { ...Object(task.payload), isDeadly: true },
  }));
  return { ...workItem, submission: { ...submission, tasks } };
}

function buildWorkItem(
  work: TestWork,
  key: string,
  runMs: number,
  tasks: number,
) {
  const [workItem] = testWorkItems(work, 1, runMs, tasks);
  return { ...workItem!, key: `${work}-${key}` };
}
