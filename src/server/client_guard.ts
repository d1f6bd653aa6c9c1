/**
 * Bounds what the clients of all servers of an instance take of its memory and
 * its descriptors, also clients that do not keep to any limit.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { createByteBudget } from "./byte_budget.ts";
import {
  beginExchange,
  type ClientConnection,
  type ConnectionHost,
  connectionOf,
  type ConnectionPhase,
  createClientConnection,
  isCallPending,
  type RefusalCause,
  refuseClient,
  rejectMalformedRequest,
} from "./client_connection.ts";
import { createBufferPool } from "./growing_buffer.ts";
import {
  type ClientLimits,
  isBodyTooSlow,
  type ServerName,
} from "./client_limits.ts";
import { createWorkQueue } from "./work_queue.ts";

/** Limit of Node.js on a head, without separators, in bytes. */
const MAX_HEADER_BYTES = 16_384;
/** Room for the separators of a head, as a multiple of its limit. */
const HEAD_FRAMING_FACTOR = 2;
/** Room for the framing of a body: a chunk of one byte takes six. */
const BODY_FRAMING_FACTOR = 8;
const BODY_FRAMING_BYTES = 65_536;
/** Longest time for a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 120_000;
/** Interval at which clients that take too long are looked for, in ms. */
const CHECK_INTERVAL_MS = 1_000;
/** Shortest time between two reports of refused clients, in milliseconds. */
const REPORT_INTERVAL_MS = 10_000;

/** Options of a server whose clients are bounded. */
export type GuardedServerOptions = {
  name: ServerName;
  /** How long an idle connection stays open, in milliseconds. */
  keepAliveMs: number;
  /** Limit on a body, in bytes. */
  maxBodyBytes(): number;
  /** Limit on connections, if it is lower than that of the instance. */
  maxConnections?: number;
};

/** Creates servers whose clients are bounded together. */
export type ClientGuard = {
  createServer(
    options: GuardedServerOptions,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
  ): Server;
};

/** What a guard needs from its instance. */
export type ClientGuardHost = {
  limits: ClientLimits;
  /** Called for each client that is refused. */
  onRefusal(server: ServerName, cause: RefusalCause): void;
  /** Called at times with the refusals since the last call, by cause. */
  onReport(refusals: Record<string, number>): void;
  /** Ends the search for clients that take too long. */
  signal: AbortSignal;
};

type GuardedServer = {
  maxConnections: number;
  connections: Record<ConnectionPhase, Set<ClientConnection>>;
};

/**
 * Creates the guard of an instance.
 *
 * @example
 * ```ts
 * const guard = createClientGuard({ limits, onRefusal, onReport, signal });
 * const server = guard.createServer(options, (request, response) => {
 *   response.end();
 * });
 * ```
 */
export function createClientGuard(host: ClientGuardHost): ClientGuard {
  const { limits, signal } = host;
  const memory = {
    budget: createByteBudget(limits.bodyBytes),
    pool: createBufferPool(limits.bodyBytes.addressBytes),
    bodies: createWorkQueue(),
  };
  const servers: GuardedServer[] = [];
  const refusals = new Map<string, number>();
  let reportedAtMs = -Infinity;

  function recordRefusal(name: ServerName, cause: RefusalCause): void {
    refusals.set(cause, (refusals.get(cause) ?? 0) + 1);
    host.onRefusal(name, cause);
  }

  function check(): void {
    const nowMs = performance.now();
    for (const { connections } of servers) {
      refuseSlowHeads(connections.head, limits, nowMs);
      refuseSlowBodies(connections.body, limits, nowMs);
      closeUnreadAnswers(connections.call, limits, nowMs);
    }
    if (refusals.size === 0) return;
    if (nowMs - reportedAtMs < REPORT_INTERVAL_MS) return;
    host.onReport(Object.fromEntries(refusals));
    refusals.clear();
    reportedAtMs = nowMs;
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS).unref();
  signal.addEventListener("abort", () => clearInterval(timer));
  return {
    createServer(options, handle) {
      const maxConnections = Math.min(
        limits.connections[options.name],
        options.maxConnections ?? Infinity,
      );
      const guarded = { maxConnections, connections: emptyPhases() };
      servers.push(guarded);
      const server = createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: limits.headTimeoutMs,
        requestTimeout: Math.max(REQUEST_TIMEOUT_MS, limits.headTimeoutMs),
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        keepAliveTimeout: options.keepAliveMs,
      }, (request, response) => {
        const connection = connectionOf(request);
        if (connection !== undefined) {
          beginExchange(connection, request, response);
        }
        handle(request, response);
      });
      server.on("connection", (socket) => {
        accept(guarded, memory, options, recordRefusal, socket);
      });
      server.on("clientError", rejectMalformedRequest);
      return server;
    },
  };
}

function emptyPhases(): GuardedServer["connections"] {
  return {
    head: new Set(),
    body: new Set(),
    call: new Set(),
    idle: new Set(),
  };
}

function accept(
  guarded: GuardedServer,
  memory: Pick<ConnectionHost, "budget" | "pool" | "bodies">,
  { name, maxBodyBytes }: GuardedServerOptions,
  recordRefusal: (name: ServerName, cause: RefusalCause) => void,
  socket: Socket,
): void {
  const { connections } = guarded;
  const connection = createClientConnection({
    ...memory,
    maxHeadBytes: MAX_HEADER_BYTES * HEAD_FRAMING_FACTOR,
    maxBodyBytes: () =>
      maxBodyBytes() * BODY_FRAMING_FACTOR + BODY_FRAMING_BYTES,
    onPhase: (moved, earlier) => {
      if (!connections[earlier].delete(moved)) return;
      connections[moved.phase].add(moved);
    },
    onRefusal: (cause) => recordRefusal(name, cause),
  }, socket);
  socket.once("close", () => connections[connection.phase].delete(connection));
  if (countConnections(guarded) >= guarded.maxConnections) {
    const other = findDispensable(guarded);
    refuseClient(other ?? connection, "tooManyConnections");
    if (other === undefined) return;
    connections[other.phase].delete(other);
  }
  connections.head.add(connection);
}

function countConnections({ connections }: GuardedServer): number {
  const { head, body, call, idle } = connections;
  return head.size + body.size + call.size + idle.size;
}

/**
 * Returns the connection to close in favour of a new one: first one without a
 * complete request, last one whose answer is not read. None that waits for the
 * answer to a call is closed.
 */
function findDispensable(
  { connections }: GuardedServer,
): ClientConnection | undefined {
  // Sets are in the order in which their connections have entered the phase.
  for (const phase of ["head", "body", "idle"] as const) {
    for (const connection of connections[phase]) {
      if (!isCallPending(connection)) return connection;
    }
  }
  for (const connection of connections.call) {
    if (connection.exchange?.response.writableEnded) return connection;
  }
  return undefined;
}

function refuseSlowHeads(
  heads: Set<ClientConnection>,
  { headTimeoutMs }: ClientLimits,
  nowMs: number,
): void {
  for (const connection of heads) {
    if (nowMs - connection.phaseAtMs < headTimeoutMs) return;
    refuseClient(connection, "headTooSlow");
  }
}

function refuseSlowBodies(
  bodies: Set<ClientConnection>,
  limits: ClientLimits,
  nowMs: number,
): void {
  for (const connection of bodies) {
    const elapsedMs = nowMs - connection.phaseAtMs;
    const receivedBytes = connection.exchange?.bodyBytes ?? 0;
    if (isBodyTooSlow(limits, receivedBytes, elapsedMs)) {
      refuseClient(connection, "bodyTooSlow");
    }
  }
}

/** Closes connections whose answers are not read: nothing waits for them. */
function closeUnreadAnswers(
  calls: Set<ClientConnection>,
  { unreadAnswerMs }: ClientLimits,
  nowMs: number,
): void {
  for (const connection of calls) {
    const { exchange } = connection;
    if (exchange === undefined || !exchange.response.writableEnded) continue;
    exchange.unreadSinceMs ??= nowMs;
    if (nowMs - exchange.unreadSinceMs >= unreadAnswerMs) {
      refuseClient(connection, "answerUnread");
    }
  }
}
