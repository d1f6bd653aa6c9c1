/**
 * Runs an entry instance from its settings until it is stopped.
 *
 * @module
 */
import { once, setMaxListeners } from "node:events";
import type { Server } from "node:http";
import process from "node:process";
import {
  createHttpCaller,
  createInstanceListClient,
  createLogClient,
  createPeerClient,
  createRandomness,
  createSystemClock,
  createWorkerClient,
  type HttpCaller,
} from "../clients/mod.ts";
import type { Clock } from "../hosts/mod.ts";
import {
  createScheduler,
  DEFAULT_SCHEDULER_OPTIONS,
  type Scheduler,
  selfHolder,
} from "../instance/mod.ts";
import {
  createCallerRoute,
  createHealthRoute,
  createHttpServer,
  createOperatorRoute,
  createPeerRoute,
} from "../server/mod.ts";
import type { Settings } from "../settings/mod.ts";
import {
  createLogger,
  createMetrics,
  type Logger,
  type MetricSettings,
} from "../telemetry/mod.ts";
import { type Driver, startDriver } from "./driver.ts";
import { reportEvents } from "./report_events.ts";

/** How often a stopping process looks whether it may end. */
const STOP_POLL_MS = 100;
/** How long readiness fails before anything is handed over. */
const READINESS_DELAY_MS = 1_000;
/** Largest random part of an incarnation. */
const MAX_INCARNATION_PART = 36 ** 4 - 1;

const FAILURE_EXIT_CODE = 1;
const CONNECTIONS_PER_ORIGIN = 8;
const WAITING_CONNECTIONS_PER_ORIGIN = 256;
/** Methods whose answer the peer may hold back. */
const WAITING_METHODS = new Set(["submit", "read"]);
const CONNECT_TIMEOUT_MS = 1_000;
const COMMAND_TIMEOUT_MS = 1_500;
const RENEW_MARGIN_MS = 1_500;
const LOG_TIMEOUT_MS = 2_000;
const LIST_TIMEOUT_MS = 2_000;

/**
 * Runs an entry instance until SIGTERM or SIGINT, then stops it as planned.
 *
 * @returns the exit code of the process
 */
export async function runInstance(settings: Settings): Promise<number> {
  const ending = new AbortController();
  // One signal ends every call and timer of the process.
  setMaxListeners(0, ending.signal);
  // Logs that nobody reads any more must not end the process.
  process.stdout.on("error", () => {});
  process.stderr.on("error", () => {});
  const clock = createSystemClock();
  const scheduler = schedulerFrom(settings, clock);
  const caller = createCaller(CONNECTIONS_PER_ORIGIN);
  // A long wait for an answer must not hold up heartbeats.
  const waitingCaller = createCaller(WAITING_CONNECTIONS_PER_ORIGIN);
  const { secret } = settings.cluster;
  const peers = createPeerClient(caller, { secret });
  const waitingPeers = createPeerClient(waitingCaller, { secret });
  const driver = startDriver(scheduler, {
    clock,
    workers: createWorkerClient(caller, {
      commandTimeoutMs: COMMAND_TIMEOUT_MS,
      renewMarginMs: RENEW_MARGIN_MS,
    }),
    log: createLogClient(caller, {
      url: settings.platform.logUrl,
      appendTimeoutMs: LOG_TIMEOUT_MS,
      readMarginMs: LOG_TIMEOUT_MS,
    }),
    list: createInstanceListClient(caller, {
      url: settings.platform.listUrl,
      timeoutMs: LIST_TIMEOUT_MS,
    }),
    callPeer: (url, method, params, timeoutMs, signal) => {
      const isWaiting = WAITING_METHODS.has(method);
      const client = isWaiting ? waitingPeers : peers;
      return client.call(url, method, params, timeoutMs, signal);
    },
  }, ending.signal);
  const logger = createLogger({ ...settings.log, process: scheduler.self.id });
  const metrics = await createMetrics(metricsFrom(settings));
  const reporting = reportEvents(scheduler, logger, metrics, ending.signal);
  driver.done.catch((error) => fail(logger, error));
  logger.part("daemon").info("Started.", { holder: selfHolder(scheduler) });
  const stopping = new AbortController();
  const server = serve(settings, scheduler, driver, () => stopping.abort());
  process.once("SIGTERM", () => stopping.abort());
  process.once("SIGINT", () => stopping.abort());
  await once(stopping.signal, "abort");
  await stop(settings, scheduler, driver, server, clock);
  ending.abort();
  await Promise.all([caller.close(), waitingCaller.close(), reporting]);
  logger.part("daemon").info("Stopped.");
  await Promise.all([logger.close(), metrics.close()]);
  return 0;
}

/** A reducer that failed has lost its state; only a new process can go on. */
async function fail(logger: Logger, error: unknown): Promise<void> {
  const cause = error instanceof Error ? error.stack ?? error.message : error;
  logger.part("daemon").error("Failed.", { cause: String(cause) });
  await logger.close();
  process.exit(FAILURE_EXIT_CODE);
}

function metricsFrom(settings: Settings): MetricSettings | undefined {
  const { metrics, instance } = settings;
  return metrics === undefined
    ? undefined
    : { ...metrics, process: instance.id };
}

function createCaller(connectionsPerOrigin: number): HttpCaller {
  return createHttpCaller({
    connectionsPerOrigin,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
}

function schedulerFrom(settings: Settings, clock: Clock): Scheduler {
  const { id, zone, region, url } = settings.instance;
  const moment = { steadyMs: clock.steadyMs(), wallMs: clock.nowMs() };
  const randomness = createRandomness(moment.wallMs ^ process.pid);
  const part = randomness.integer(0, MAX_INCARNATION_PART).toString(36);
  const incarnation = moment.wallMs.toString(36) + part;
  const { cluster, lease, limits, platform } = settings;
  return createScheduler(
    { id, incarnation, zone, region, url },
    {
      ...DEFAULT_SCHEDULER_OPTIONS,
      secret: cluster.secret,
      seeds: cluster.seeds,
      spill: cluster.spill,
      preference: cluster.preference,
      heartbeatMs: lease.heartbeatMs,
      deadAfterMs: lease.deadAfterMs,
      renewWaitMs: lease.renewWaitMs,
      leaseMarginMs: lease.marginMs,
      listIntervalMs: platform.listIntervalMs,
      usageIntervalMs: platform.usageIntervalMs,
      maxQueuedTasks: limits.maxQueuedTasks,
    },
    randomness,
    moment,
  );
}

function serve(
  settings: Settings,
  scheduler: Scheduler,
  driver: Driver,
  stop: () => void,
): Server {
  const { limits, instance } = settings;
  const credentials = {
    customers: settings.customers,
    operators: settings.operators,
    secret: settings.cluster.secret,
  };
  const { call } = driver;
  const host = { scheduler, credentials, call, stop };
  const server = createHttpServer([
    createHealthRoute(scheduler),
    createPeerRoute(host),
    createCallerRoute(host),
    createOperatorRoute(host),
  ], {
    maxBytes: limits.maxBodyBytes,
    timeoutMs: limits.bodyTimeoutMs,
    maxConnections: limits.maxConnections,
  });
  server.listen(instance.listen.port, instance.listen.host);
  return server;
}

/**
 * The planned stop: readiness fails first, so that the balancer sends nothing
 * more; then workers and waiting work go to peers; then calls in flight end.
 */
async function stop(
  settings: Settings,
  scheduler: Scheduler,
  driver: Driver,
  server: Server,
  clock: Clock,
): Promise<void> {
  const never = new AbortController().signal;
  const untilMs = clock.steadyMs() + settings.limits.stopGraceMs;
  driver.drain();
  await clock.sleep(READINESS_DELAY_MS, never);
  while (!scheduler.drained && clock.steadyMs() < untilMs) {
    await clock.sleep(STOP_POLL_MS, never);
  }
  const closed = once(server, "close");
  server.close();
  server.closeIdleConnections();
  const leftMs = Math.max(untilMs - clock.steadyMs(), STOP_POLL_MS);
  const waiting = new AbortController();
  await Promise.race([closed, clock.sleep(leftMs, waiting.signal)]);
  // A timer left running would keep the process alive.
  waiting.abort();
  server.closeAllConnections();
}
