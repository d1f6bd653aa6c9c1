import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { diagnostics } from "../../src/diagnostics/mod.ts";
import { accept, type Answer, type Call, refuse } from "./answer.ts";
import {
  applyFaultControl,
  createFaults,
  drawFailure,
  drawLagMs,
  type FaultControl,
  type Faults,
  takeLostAnswer,
} from "./fault_control.ts";

const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const ADDRESS = "127.0.0.1";

/** What a JSON server serves. */
export type JsonService<Control extends FaultControl> = {
  /** Seed of the random faults. */
  seed: number;
  /** How many connections are accepted at once. */
  connections?: number;
  handle(call: Call): Promise<Answer> | Answer;
  /** Checks the body of a control call; throws when it is invalid. */
  parseControl(body: unknown): Control;
  /** Applies what the server itself does not understand of a control call. */
  control(control: Control): void;
  /** What `GET /audit` returns. */
  audit(): unknown;
};

/** A server over HTTP whose faults are controlled while it runs. */
export type JsonServer<Control extends FaultControl> = {
  /** Listens on a port of 127.0.0.1, 0 for any, and returns the base URL. */
  listen(port: number): Promise<string>;
  /** Applies a control call from within the process. */
  control(control: Control): void;
  /** Breaks every connection and stops listening. */
  close(): Promise<void>;
};

type Connections = { open: Set<Socket>; silent: WeakSet<Socket> };

/** Builds a JSON server; `POST /control` and `GET /audit` never fail. */
export function createJsonServer<Control extends FaultControl>(
  service: JsonService<Control>,
): JsonServer<Control> {
  const faults = createFaults(service.seed);
  const connections: Connections = { open: new Set(), silent: new WeakSet() };
  const server = createServer((request, response) => {
    serve(service, faults, connections, request, response)
      .catch(() => request.socket.destroy());
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  if (service.connections !== undefined) {
    server.maxConnections = service.connections;
  }
  server.on("connection", (socket) => {
    connections.open.add(socket);
    socket.on("close", () => connections.open.delete(socket));
  });
  return {
    listen: (port) => listen(server, port),
    control: (control) => {
      applyControl(service, faults, connections, control);
    },
    close: () => close(server, connections),
  };
}

async function serve<Control extends FaultControl>(
  service: JsonService<Control>,
  faults: Faults,
  connections: Connections,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const text = await readText(request);
  if (connections.silent.has(request.socket)) return;
  const call = readCall(request, response, text);
  if (call === undefined) {
    write(response, refuse(400, diagnostics.bodyUnreadable, ["not JSON"]));
    return;
  }
  if (call.path === "/control") {
    const control = service.parseControl(call.body);
    applyControl(service, faults, connections, control, request.socket);
    write(response, { status: 204 });
    return;
  }
  if (call.path === "/audit") {
    write(response, accept(service.audit()));
    return;
  }
  await serveWithFaults(service, faults, connections, call, response);
}

async function serveWithFaults<Control extends FaultControl>(
  service: JsonService<Control>,
  faults: Faults,
  connections: Connections,
  call: Call,
  response: ServerResponse,
): Promise<void> {
  const socket = response.req.socket;
  if (faults.down) {
    socket.destroy();
    return;
  }
  if (drawFailure(faults)) {
    write(response, { status: 500, body: { message: "injected failure" } });
    return;
  }
  const answer = await service.handle(call);
  const lagMs = drawLagMs(faults);
  if (lagMs > 0) await delay(lagMs);
  if (connections.silent.has(socket)) return;
  if (takeLostAnswer(faults, call.path)) {
    socket.destroy();
    return;
  }
  write(response, answer);
}

function applyControl<Control extends FaultControl>(
  service: JsonService<Control>,
  faults: Faults,
  connections: Connections,
  control: Control,
  spared?: Socket,
): void {
  applyFaultControl(faults, control);
  for (const socket of connections.open) {
    if (socket === spared) continue;
    if (control.silent === true) connections.silent.add(socket);
    if (control.down === true) socket.destroy();
  }
  service.control(control);
}

function readCall(
  request: IncomingMessage,
  response: ServerResponse,
  text: string,
): Call | undefined {
  const url = new URL(request.url ?? "/", `http://${ADDRESS}`);
  const controller = new AbortController();
  response.on("close", () => controller.abort());
  try {
    return {
      method: request.method ?? "GET",
      path: url.pathname,
      query: url.searchParams,
      body: text === "" ? undefined : JSON.parse(text),
      signal: controller.signal,
    };
  } catch {
    return undefined;
  }
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

function write(response: ServerResponse, answer: Answer): void {
  if (response.destroyed) return;
  if (answer.body === undefined) {
    response.writeHead(answer.status).end();
    return;
  }
  const body = JSON.stringify(answer.body);
  response.writeHead(answer.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

function listen(server: Server, port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ADDRESS, () => {
      server.off("error", reject);
      const { port: bound } = server.address() as AddressInfo;
      resolve(`http://${ADDRESS}:${bound}`);
    });
  });
}

function close(server: Server, connections: Connections): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    for (const socket of connections.open) socket.destroy();
  });
}
