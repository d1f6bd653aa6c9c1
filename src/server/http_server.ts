/**
 * The HTTP server of an entry instance: passes each request to the routes in
 * order until one responds, within limits on size, time and connections.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Duplex } from "node:stream";
import { diagnostics } from "../diagnostics/mod.ts";
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
/** Timeout for receiving the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;
/** How long an idle connection stays open, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;
const MAX_HEADER_BYTES = 8_192;
const CALLER_LEFT: HttpResponse = { status: 408 };

/** Limits on the requests and connections that the server accepts. */
export type ServerLimits = BodyLimits & { maxConnections: number };

/** A path without a query, dots or anything encoded, which need no parsing. */
const PLAIN_PATH = /^(?:\/[\w-]+)+$/;

/**
 * Creates an HTTP server for the routes; it does not listen yet.
 *
 * @example
 * ```ts
 * const server = createHttpServer([callerRoute, healthRoute], limits);
 * server.listen(8001, "127.0.0.1");
 * ```
 */
export function createHttpServer(
  routes: Route[],
  limits: ServerLimits,
): Server {
  const queue = createWorkQueue();
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: HEADERS_TIMEOUT_MS + limits.timeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
  }, async (request, response) => {
    const result = await handleRequest(routes, limits, queue, request);
    sendResponse(response, result);
  });
  server.maxConnections = limits.maxConnections;
  server.on("clientError", rejectMalformedRequest);
  return server;
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

function rejectMalformedRequest(
  _error: Error,
  socket: Duplex,
): void {
  if (!socket.writable) return;
  socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n");
}
