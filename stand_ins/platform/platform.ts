/**
 * Serves the stand-ins for the platform on loopback: the store, the workers
 * listed in it, and optionally the placement policy.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { encodeRecords } from "../../platform/record_format.ts";
import { type AdviceOptions, handleAdviceRequest } from "./advice.ts";
import {
  appendRecords,
  createStore,
  joinGroup,
  leaveGroup,
  listLatestRecords,
  listOwners,
  readRecords,
  type StandInResponse,
  type Store,
} from "./store.ts";
import { carryOut, type WorkerProcess } from "./restart_worker.ts";
import {
  COMMAND_PATHS,
  createWorker,
  endDueRuns,
  handleCommand,
  heartbeatCommand,
  type TaskDuration,
  type Worker,
} from "./worker.ts";

const LOOPBACK = "127.0.0.1";
const OK = 200;
const UNAVAILABLE = 503;
/** Maximum interval at which a waiting heartbeat checks for ended runs. */
const MAX_ENDED_RUN_POLL_MS = 50;
const MIN_ENDED_RUN_POLL_MS = 1;
const CONFIGURATION_TOPIC = "keyed.op";
/** Interval at which an answer that is held back checks if it may leave. */
const HELD_ANSWER_POLL_MS = 20;

/** The running stand-ins for the platform. */
export type Platform = {
  /** `IP:port` of the store. */
  address: string;
  /** `IP:port` of the placement policy; empty if there is none. */
  adviceAddress: string;
  store: Store;
  /** The present incarnation of each worker. */
  workers: Worker[];
  /** The process of each worker, in the order of `workers`. */
  workerProcesses: WorkerProcess[];
  /** Configuration of each worker, in the order of `workers`. */
  workerConfigs: WorkerConfig[];
  /** While true, the store accepts requests and never responds. */
  isStoreUnresponsive: boolean;
  /** Opens another address of the store. */
  openStore(): Promise<StoreAccess>;
  close(): void;
};

/** An address of the store at which some answers can be held back. */
export type StoreAccess = {
  /** `IP:port` of the store. */
  address: string;
  /** While true, reads of the operators' configuration are not answered. */
  isConfigurationHeld: boolean;
  /** While true, all requests are refused. */
  isRefusing: boolean;
};

/** Configuration of one worker. */
export type WorkerConfig = {
  id: string;
  service: string;
  zone: string;
  rack: string;
  capacity: { cpuMillis: number; memoryMb: number; accelerators: number };
};

/** Options for `startPlatform`. */
export type PlatformOptions = {
  partitions: number;
  workers: WorkerConfig[];
  durationMs: TaskDuration;
  /** Maps a worker's listening address to the address instances use. */
  resolveWorkerAddress?: (worker: string, address: string) => Promise<string>;
  /** The operators' configuration, in the platform's format. */
  configuration: object;
  /** Whether a task crashes each worker that starts it; none if absent. */
  isDeadly?: Worker["isDeadly"];
  /** The longest lease that a worker grants, in milliseconds. */
  maxLeaseMs?: number;
  /** How long the store takes for each call, in milliseconds; 0 if absent. */
  storeDelayMs?: number;
  /** Behavior of the placement policy; none is started if absent. */
  advice?: AdviceOptions;
};

/**
 * Starts the stand-ins, each on a free port of loopback.
 *
 * @example
 * ```ts
 * const platform = await startPlatform(options);
 * ```
 */
export async function startPlatform(
  options: PlatformOptions,
): Promise<Platform> {
  const store = createStore(options.partitions);
  putConfiguration(store, options.configuration);
  const platform: Platform = {
    address: "",
    adviceAddress: "",
    store,
    workers: [],
    workerProcesses: [],
    workerConfigs: options.workers,
    isStoreUnresponsive: false,
    async openStore() {
      const access: StoreAccess = {
        address: "",
        isConfigurationHeld: false,
        isRefusing: false,
      };
      const server = await startServer((request, body) =>
        serveStore(request, body, access)
      );
      access.address = addressOf(server);
      servers.push(server);
      return access;
    },
    close() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
  const { storeDelayMs = 0 } = options;
  async function serveStore(
    request: IncomingMessage,
    body: Buffer,
    access?: StoreAccess,
  ): Promise<StandInResponse | undefined> {
    if (storeDelayMs > 0) await delay(storeDelayMs);
    if (request.url?.includes(`topic=${CONFIGURATION_TOPIC}&`)) {
      while (access?.isConfigurationHeld) await delay(HELD_ANSWER_POLL_MS);
    }
    if (access?.isRefusing) return { status: UNAVAILABLE, body: {} };
    if (platform.isStoreUnresponsive) return undefined;
    return handleStoreRequest(store, request, body);
  }
  const storeServer = await startServer((request, body) =>
    serveStore(request, body)
  );
  platform.address = addressOf(storeServer);
  const servers = [storeServer];
  const { advice } = options;
  if (advice !== undefined) {
    const server = await startServer((_, body) =>
      handleAdviceRequest(advice, JSON.parse(body.toString()))
    );
    platform.adviceAddress = addressOf(server);
    servers.push(server);
  }
  for (const [index, config] of options.workers.entries()) {
    const worker = createWorker(
      config.id,
      options.durationMs,
      Date.now(),
      options.isDeadly,
      { maxLeaseMs: options.maxLeaseMs ?? Infinity },
    );
    const workerProcess: WorkerProcess = {
      worker,
      restart: undefined,
      connections: new WeakMap(),
      onRestarted(next) {
        platform.workers[index] = next;
        registerWorker(store, config, next, resolvedAddress);
      },
    };
    const server = await startServer((request, body) =>
      carryOut(
        workerProcess,
        request.socket,
        (present) => handleWorkerRequest(present, request, body),
      )
    );
    platform.workers.push(worker);
    platform.workerProcesses.push(workerProcess);
    servers.push(server);
    const address = addressOf(server);
    const resolvedAddress =
      await options.resolveWorkerAddress?.(config.id, address) ?? address;
    registerWorker(store, config, worker, resolvedAddress);
  }
  return platform;
}

/** Puts the operators' configuration, in the platform's format, in force. */
export function putConfiguration(store: Store, configuration: object): void {
  putRecord(store, CONFIGURATION_TOPIC, "config", configuration);
}

/** Adds a worker to the platform's worker list in the store. */
function registerWorker(
  store: Store,
  config: WorkerConfig,
  worker: Worker,
  address: string,
): void {
  const { cpuMillis, memoryMb, accelerators } = config.capacity;
  putRecord(store, "keyed.servers", worker.id, {
    service: config.service,
    addr: address,
    zone: config.zone,
    state: "ready",
    labels: ["kind", config.rack],
    capacity: { cpu: cpuMillis, mem_mb: memoryMb, gpu: accelerators },
    born: worker.bornMs,
  });
}

function putRecord(
  store: Store,
  topic: string,
  key: string,
  value: object,
): void {
  const record = { key, value: JSON.stringify(value) };
  appendRecords(
    store,
    new URLSearchParams({ topic, part: "0" }),
    encodeRecords([record]),
  );
}

function handleStoreRequest(
  store: Store,
  request: IncomingMessage,
  body: Buffer,
): StandInResponse {
  const url = new URL(request.url ?? "/", "http://store");
  const nowMs = Date.now();
  switch (url.pathname) {
    case "/log-append":
      return appendRecords(store, url.searchParams, body);
    case "/log-read":
      return readRecords(store, url.searchParams);
    case "/log-newest":
      return listLatestRecords(store, url.searchParams);
    case "/log-join":
      return joinGroup(store, JSON.parse(body.toString()), nowMs);
    case "/log-leave":
      return leaveGroup(store, JSON.parse(body.toString()));
    case "/log-owners":
      return listOwners(store, url.searchParams.get("group") ?? "", nowMs);
    default:
      return { status: 404, body: {} };
  }
}

async function handleWorkerRequest(
  worker: Worker,
  request: IncomingMessage,
  body: Buffer,
): Promise<StandInResponse> {
  const path = request.url ?? "/";
  const command = JSON.parse(body.toString());
  const response = handleCommand(worker, path, command, Date.now());
  const isHeartbeat = path === COMMAND_PATHS.heartbeat;
  if (!isHeartbeat || response.status !== OK) return response;
  // The lease and the acknowledgement count from the arrival.
  await waitForEndedRun(worker, command);
  const look = heartbeatCommand({
    epoch: worker.fence,
    leaseUntilMs: undefined,
    acknowledged: 0,
  });
  return handleCommand(worker, path, look, Date.now());
}

/**
 * Delays the response to a heartbeat until a run that is not yet acknowledged
 * has ended, or until the requested wait is over.
 */
async function waitForEndedRun(
  worker: Worker,
  command: { wait_ms?: number; ack_cursor?: number },
): Promise<void> {
  const deadlineMs = Date.now() + (command.wait_ms ?? 0);
  const acknowledged = command.ack_cursor ?? 0;
  while (Date.now() < deadlineMs) {
    endDueRuns(worker, Date.now());
    if (worker.endedRuns.some(([number]) => number > acknowledged)) return;
    const pauseMs = Math.min(nextRunEndMs(worker), deadlineMs) - Date.now();
    await new Promise((resolve) =>
      setTimeout(
        resolve,
        Math.min(
          Math.max(pauseMs, MIN_ENDED_RUN_POLL_MS),
          MAX_ENDED_RUN_POLL_MS,
        ),
      )
    );
  }
}

/** Time at which the next run of a worker ends; `Infinity` without runs. */
function nextRunEndMs(worker: Worker): number {
  let nextMs = Infinity;
  for (const { endsAtMs } of worker.running.values()) {
    nextMs = Math.min(nextMs, endsAtMs);
  }
  return nextMs;
}

async function startServer(
  handle: (
    request: IncomingMessage,
    body: Buffer,
  ) => StandInResponse | Promise<StandInResponse | undefined>,
): Promise<Server> {
  const server = createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    const result = await handle(request, Buffer.concat(chunks));
    if (result !== undefined) sendResponse(response, result);
  });
  server.listen(0, LOOPBACK);
  await once(server, "listening");
  return server;
}

function sendResponse(response: ServerResponse, result: StandInResponse): void {
  const { status, body } = result;
  response.writeHead(status);
  response.end(Buffer.isBuffer(body) ? body : JSON.stringify(body));
}

function addressOf(server: Server): string {
  const { port } = server.address() as AddressInfo;
  return `${LOOPBACK}:${port}`;
}
