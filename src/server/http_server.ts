/**
 * The HTTP server of an entry instance: passes each request to the routes in
 * order until one responds, within limits on size, time and connections.
 *
 * @module
 */
import type { IncomingMessage, Server } from "node:http";
import { diagnostics } from "../diagnostics/mod.ts";
import type { ClientGuard } from "./client_guard.ts";
import type { ServerName } from "./client_limits.ts";
import { type HttpResponse, sendResponse } from "./http_response.ts";
import { problemDocument, refusal } from "./problem_document.ts";
import { type BodyLimits, parseBody, readBody } from "./read_body.ts";
import { RefusedCall } from "./refused_call.ts";
import type { Route, RouteCall } from "./route.ts";
import { createWorkQueue, type WorkQueue } from "./work_queue.ts";

const NOT_FOUND = 404;
const INTERNAL_SERVER_ERROR = 500;
const BAD_REQUEST = 400;
const INTERNAL_ERROR_DIAGNOSTIC_CODE = 3000;
/** How long an idle connection stays open, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;
const CALLER_LEFT: HttpResponse = { status: 408 };

/** Limits on the requests and connections that the server accepts. */
export type ServerLimits = BodyLimits & {
  name: ServerName;
  maxConnections: number;
};

/** A path without a query, dots or anything encoded, which need no parsing. */
const PLAIN_PATH = /^(?:\/[\w-]+)+$/;

/**
 * Creates an HTTP server for the routes; it does not listen yet.
 *
 * @example
 * ```ts
 * const server = createHttpServer([callerRoute, healthRoute], limits, guard);
 * server.listen(8001, "127.0.0.1");
 * ```
 */
export function createHttpServer(
  routes: Route[],
  limits: ServerLimits,
  guard: ClientGuard,
): Server {
  const queue = createWorkQueue();
  return guard.createServer({
    name: limits.name,
    keepAliveMs: KEEP_ALIVE_MS,
    maxBodyBytes: () => limits.maxBytes,
    maxConnections: limits.maxConnections,
  }, async (request, response) => {
    const result = await handleRequest(routes, limits, queue, request);
    sendResponse(response, result);
  });
}

async function handleRequest(
  routes: Route[],
  limits: BodyLimits,
  queue: WorkQueue,
  request: IncomingMessage,
): Promise<HttpResponse> {
  try {
    const call = createRouteCall(request, limits, queue);
    for (const route of routes) {
      const response = await route(call);
      if (response !== undefined) return response;
    }
    return refusal(NOT_FOUND, diagnostics.pathUnknown, request.url ?? "");
  } catch (error) {
    if (error instanceof RefusedCall) return error.response;
    const detail = error instanceof Error ? error.message : String(error);
    return problemDocument(
      INTERNAL_SERVER_ERROR,
      INTERNAL_ERROR_DIAGNOSTIC_CODE,
      detail,
    );
  }
}

function createRouteCall(
  request: IncomingMessage,
  limits: BodyLimits,
  queue: WorkQueue,
): RouteCall {
  const target = request.url ?? "/";
  const { path, query } = PLAIN_PATH.test(target)
    ? { path: target.split("/").slice(1), query: new URLSearchParams() }
    : parseUrl(target);
  return {
    method: request.method ?? "GET",
    path,
    query,
    headers: request.headers,
    async body() {
      const text = await readBody(request, limits);
      if (text.isErr()) throw new RefusedCall(text.error);
      await queue.turn();
      // Nobody would receive the response.
      if (hasCallerLeft(request)) throw new RefusedCall(CALLER_LEFT);
      const value = parseBody(text.value);
      if (value.isErr()) throw new RefusedCall(value.error);
      return value.value;
    },
  };
}

function hasCallerLeft({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}

function parseUrl(text: string): { path: string[]; query: URLSearchParams } {
  try {
    const url = new URL(text, "http://127.0.0.1");
    const path = url.pathname.split("/").slice(1).map(decodeURIComponent);
    return { path, query: url.searchParams };
  } catch {
    const message = diagnostics.pathUnknown;
    throw new RefusedCall(refusal(BAD_REQUEST, message, text));
  }
}
