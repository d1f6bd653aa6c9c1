/**
 * Serves the stand-ins of the platform on loopback: the store, and workers
 * that are listed in it.
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
import { encodeRecords } from "../../platform/record_format.ts";
import { type AdvicePlan, answerAdvice } from "./advice.ts";
import {
  append,
  createStore,
  join,
  leave,
  newest,
  owners,
  read,
  type Store,
  type StoreAnswer,
} from "./store.ts";
import {
  answerOrder,
  createWorker,
  endDueRuns,
  ORDER_PATHS,
  type TaskDuration,
  type Worker,
} from "./worker.ts";

const LOOPBACK = "127.0.0.1";
/** The longest pause after which a held-back look checks for an end, in ms. */
const LONGEST_LOOK_POLL_MS = 50;
const SHORTEST_LOOK_POLL_MS = 1;

/** The platform's stand-ins, listening. */
export type Platform = {
  /** `IP:port` of the store. */
  address: string;
  /** `IP:port` of the placement policy; empty where there is none. */
  adviceAddress: string;
  store: Store;
  workers: Worker[];
  /** What each of the workers was planned as. */
  plans: WorkerPlan[];
  /** While set, the store gives no answers. */
  isStoreSilent: boolean;
  close(): void;
};

/** A worker that the platform offers. */
export type WorkerPlan = {
  id: string;
  service: string;
  zone: string;
  rack: string;
  capacity: { cpuMillis: number; memoryMb: number; accelerators: number };
};

/** What the platform offers. */
export type PlatformOptions = {
  partitions: number;
  workers: WorkerPlan[];
  durationMs: TaskDuration;
  /** Where instances reach a worker, if not where it listens. */
  reachedAt?: (worker: string, address: string) => Promise<string>;
  /** The operators' configuration, in the platform's words. */
  configuration: object;
  /** How the placement policy answers, where there is one. */
  advice?: AdvicePlan;
};

/**
 * Starts the stand-ins.
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
  put(store, "keyed.op", "config", options.configuration);
  const platform: Platform = {
    address: "",
    adviceAddress: "",
    store,
    workers: [],
    plans: options.workers,
    isStoreSilent: false,
    close() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
  const storeServer = await listen((request, body) =>
    platform.isStoreSilent ? undefined : answerStore(store, request, body)
  );
  platform.address = addressOf(storeServer);
  const servers = [storeServer];
  const { advice } = options;
  if (advice !== undefined) {
    const server = await listen((_, body) =>
      answerAdvice(advice, JSON.parse(body.toString()))
    );
    platform.adviceAddress = addressOf(server);
    servers.push(server);
  }
  for (const plan of options.workers) {
    const worker = createWorker(plan.id, options.durationMs, Date.now());
    const server = await listen((request, body) =>
      answerWorker(worker, request, body)
    );
    platform.workers.push(worker);
    servers.push(server);
    const address = addressOf(server);
    const reached = await options.reachedAt?.(plan.id, address) ?? address;
    list(store, plan, worker, reached);
  }
  return platform;
}

/** Puts a worker into the list of workers. */
function list(
  store: Store,
  plan: WorkerPlan,
  worker: Worker,
  address: string,
): void {
  const { cpuMillis, memoryMb, accelerators } = plan.capacity;
  put(store, "keyed.servers", worker.id, {
    service: plan.service,
    addr: address,
    zone: plan.zone,
    state: "ready",
    labels: ["kind", plan.rack],
    capacity: { cpu: cpuMillis, mem_mb: memoryMb, gpu: accelerators },
    born: worker.bornMs,
  });
}

function put(store: Store, topic: string, key: string, value: object): void {
  const record = { key, value: JSON.stringify(value) };
  append(
    store,
    new URLSearchParams({ topic, part: "0" }),
    encodeRecords([record]),
  );
}

function answerStore(
  store: Store,
  request: IncomingMessage,
  body: Buffer,
): StoreAnswer {
  const url = new URL(request.url ?? "/", "http://store");
  const nowMs = Date.now();
  switch (url.pathname) {
    case "/log-append":
      return append(store, url.searchParams, body);
    case "/log-read":
      return read(store, url.searchParams);
    case "/log-newest":
      return newest(store, url.searchParams);
    case "/log-join":
      return join(store, JSON.parse(body.toString()), nowMs);
    case "/log-leave":
      return leave(store, JSON.parse(body.toString()));
    case "/log-owners":
      return owners(store, url.searchParams.get("group") ?? "", nowMs);
    default:
      return { status: 404, body: {} };
  }
}

async function answerWorker(
  worker: Worker,
  request: IncomingMessage,
  body: Buffer,
): Promise<StoreAnswer> {
  const path = request.url ?? "/";
  const order = JSON.parse(body.toString());
  if (path === ORDER_PATHS.look) await waitForEnd(worker, order);
  return answerOrder(worker, path, order, Date.now());
}

/** Holds a look back until a run has ended, or until its wait is over. */
async function waitForEnd(
  worker: Worker,
  order: { wait_ms?: number; ack_cursor?: number },
): Promise<void> {
  const untilMs = Date.now() + (order.wait_ms ?? 0);
  const acknowledged = order.ack_cursor ?? 0;
  while (Date.now() < untilMs) {
    endDueRuns(worker, Date.now());
    if (worker.ends.some(([number]) => number > acknowledged)) return;
    const pauseMs = Math.min(nextEndMs(worker), untilMs) - Date.now();
    await new Promise((resolve) =>
      setTimeout(
        resolve,
        Math.min(
          Math.max(pauseMs, SHORTEST_LOOK_POLL_MS),
          LONGEST_LOOK_POLL_MS,
        ),
      )
    );
  }
}

/** When the next run of a worker is due to end. */
function nextEndMs(worker: Worker): number {
  let nextMs = Infinity;
  for (const { endsAtMs } of worker.running.values()) {
    nextMs = Math.min(nextMs, endsAtMs);
  }
  return nextMs;
}

async function listen(
  answer: (
    request: IncomingMessage,
    body: Buffer,
  ) => StoreAnswer | undefined | Promise<StoreAnswer>,
): Promise<Server> {
  const server = createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    const answered = await answer(request, Buffer.concat(chunks));
    if (answered !== undefined) send(response, answered);
  });
  server.listen(0, LOOPBACK);
  await once(server, "listening");
  return server;
}

function send(response: ServerResponse, answer: StoreAnswer): void {
  const { status, body } = answer;
  response.writeHead(status);
  response.end(Buffer.isBuffer(body) ? body : JSON.stringify(body));
}

function addressOf(server: Server): string {
  const { port } = server.address() as AddressInfo;
  return `${LOOPBACK}:${port}`;
}
