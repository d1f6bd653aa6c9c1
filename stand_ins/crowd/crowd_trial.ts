/**
 * Lets a crowd call one daemon, which runs as a process of its own, and checks
 * that the daemon lives on, stays within its machine and answers others.
 *
 * @module
 */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { assertNever } from "../../src/base/mod.ts";
import { type Daemon, OPERATOR_TOKEN } from "../platform/daemon.ts";
import {
  type Deployment,
  startDeployment,
  stopDeployment,
} from "../platform/deployment.ts";
import { readProcessUsage } from "../platform/process_usage.ts";
import { startCrowd, stopCrowd } from "./crowd.ts";
import {
  createShapes,
  MAX_BODY_BYTES,
  type RequestTarget,
  type ShapeName,
} from "./shapes.ts";

/** The machine of the daemon. */
const MACHINE = { memoryMb: 160, descriptors: 500 };
const NODE_ARGUMENTS = [
  "--max-old-space-size=64",
  "--max-semi-space-size=4",
];
const CROWD_MS = 5_000;
const SAMPLE_MS = 100;
const REOPEN_COUNT = 5;
const ANSWER_TIMEOUT_MS = 3_000;
const ATTEMPTS = 40;
const ATTEMPT_PAUSE_MS = 500;
const JOB_PATH = "/proofs/00000000000000aa";
const HOST_NAME = "desk.example";
const CONFIGURATION = {
  version: 1,
  limits: { max_body_bytes: MAX_BODY_BYTES },
  routes: [{
    name: "proofs",
    host: HOST_NAME,
    prefix: "/proofs/",
    service: "desk",
  }],
};

/** An address that a daemon listens on. */
export type Listener = "callers" | "peers" | "readiness" | "metrics" | "api";

/** A crowd at one address of a daemon. */
export type CrowdTrial = {
  /** Path of the daemon's JavaScript file. */
  program: string;
  listener: Listener;
  shape: ShapeName;
  connectionCount: number;
};

/**
 * Runs a trial.
 *
 * @throws {AssertionError} if the daemon ends, takes more than its machine has
 * or does not answer a request of another client
 */
export async function runCrowdTrial(trial: CrowdTrial): Promise<void> {
  const deployment = await startDeployment({
    program: trial.program,
    instanceCount: 1,
    workerCount: 1,
    taskDurationMs: 100,
    configuration: CONFIGURATION,
    nodeArguments: NODE_ARGUMENTS,
    hasApi: true,
    machine: MACHINE,
  });
  try {
    await endureCrowd(deployment, trial);
  } finally {
    await stopDeployment(deployment);
  }
}

async function endureCrowd(
  { instances: [instance] }: Deployment,
  { listener, shape, connectionCount }: CrowdTrial,
): Promise<void> {
  const daemon = instance!;
  await expectAnswer(daemon, "POST", "before the crowd");
  const { port, target } = targetOf(daemon, listener);
  const crowd = startCrowd({
    port,
    shape: createShapes(target)[shape],
    connectionCount,
    reopenCount: REOPEN_COUNT,
  });
  try {
    const descriptors = await watchDescriptors(daemon);
    await expectAnswer(daemon, "GET", "during the crowd");
    await stopCrowd(crowd);
    await expectAnswer(daemon, "GET", "after the crowd");
    const usage = readProcessUsage(daemon.child.pid!);
    assert.ok(usage !== undefined, endOf(daemon));
    const peakMb = Math.round(usage.peakMemoryMb);
    console.log(`${listener}: ${shape}: ${peakMb} MB, ${descriptors} sockets`);
    assert.ok(peakMb <= MACHINE.memoryMb, `took ${peakMb} MB`);
    assert.ok(descriptors <= MACHINE.descriptors, `opened ${descriptors}`);
  } finally {
    await stopCrowd(crowd);
  }
}

/** Returns the largest number of open descriptors while the crowd calls. */
async function watchDescriptors(daemon: Daemon): Promise<number> {
  let most = 0;
  for (let elapsedMs = 0; elapsedMs < CROWD_MS; elapsedMs += SAMPLE_MS) {
    await delay(SAMPLE_MS);
    const usage = readProcessUsage(daemon.child.pid!);
    assert.ok(usage !== undefined, endOf(daemon));
    most = Math.max(most, usage.descriptors);
  }
  return most;
}

function endOf({ child }: Daemon): string {
  return `the process ended: ${child.exitCode ?? child.signalCode}`;
}

/** Calls as an ordinary client, and again as one does that got no answer. */
async function expectAnswer(
  daemon: Daemon,
  method: "GET" | "POST",
  when: string,
): Promise<void> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    if (await call(daemon, method) === 200) return;
    assert.equal(daemon.child.exitCode ?? daemon.child.signalCode, null, when);
    await delay(ATTEMPT_PAUSE_MS);
  }
  assert.fail(`no answer ${when}`);
}

async function call(
  { url }: Daemon,
  method: "GET" | "POST",
): Promise<number | undefined> {
  const phases = [{ count: 1, cpu: 500, mem_mb: 10, estimate_ms: 100 }];
  try {
    const { statusCode, body } = await request(url + JOB_PATH, {
      method,
      headers: { host: HOST_NAME },
      ...(method === "POST"
        ? { body: JSON.stringify({ spec: "card", phases }) }
        : {}),
      reset: true,
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    await body.text();
    return statusCode;
  } catch {
    return undefined;
  }
}

/** Returns the port of a listener, and what can be called there. */
function targetOf(
  daemon: Daemon,
  listener: Listener,
): { port: number; target: RequestTarget } {
  const target = { host: HOST_NAME, headers: "" };
  switch (listener) {
    case "callers":
      return {
        port: portOf(daemon.url),
        target: { ...target, readPath: JOB_PATH, postPath: JOB_PATH },
      };
    case "peers":
      return {
        port: portOf(`http://${daemon.peerAddress}`),
        target: { ...target, readPath: "/rpc", postPath: "/rpc" },
      };
    case "readiness":
      return {
        port: portOf(daemon.readinessUrl),
        target: { ...target, readPath: "/readyz", postPath: "/readyz" },
      };
    case "metrics":
      return {
        port: portOf(daemon.metricsUrl),
        target: { ...target, readPath: "/metrics", postPath: "/metrics" },
      };
    case "api":
      return {
        port: portOf(daemon.apiUrl!),
        target: {
          host: HOST_NAME,
          headers: `authorization: Bearer ${OPERATOR_TOKEN}\r\n`,
          readPath: "/v1/operator/status",
          postPath: "/v1/operator/manifest",
        },
      };
    default:
      return assertNever(listener);
  }
}

function portOf(url: string): number {
  return Number(new URL(url).port);
}
