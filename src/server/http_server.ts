/**
 * The HTTP server of an entry instance: hands each call to the first route
 * that answers it, within limits on size, time and connections.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Duplex } from "node:stream";
import { diagnostics } from "../diagnostics/mod.ts";
import { type HttpAnswer, sendAnswer } from "./http_answer.ts";
import { problemDocument, refusal } from "./problem_document.ts";
import { type BodyLimits, readBody } from "./read_body.ts";
import { RefusedCall } from "./refused_call.ts";
import type { Route, RouteCall } from "./route.ts";

const NOT_FOUND = 404;
const INTERNAL_ERROR = 500;
const MALFORMED = 400;
const INTERNAL_CODE = 3000;
/** Time for the headers of a call, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;
/** How long an idle connection stays open, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;
const MAX_HEADER_BYTES = 8_192;

/** Bounds on what the server takes. */
export type ServerLimits = BodyLimits & { maxConnections: number };

/**
 * Creates a server that is not listening yet.
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
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: HEADERS_TIMEOUT_MS + limits.timeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
  }, async (request, response) => {
    const answer = await answerCall(routes, limits, request);
    sendAnswer(response, answer);
  });
  server.maxConnections = limits.maxConnections;
  server.on("clientError", refuseMalformed);
  return server;
}

async function answerCall(
  routes: Route[],
  limits: BodyLimits,
  request: IncomingMessage,
): Promise<HttpAnswer> {
  try {
    const call = routeCall(request, limits);
    for (const route of routes) {
      const answer = await route(call);
      if (answer !== undefined) return answer;
    }
    return refusal(NOT_FOUND, diagnostics.pathUnknown, request.url ?? "");
  } catch (error) {
    if (error instanceof RefusedCall) return error.answer;
    const detail = error instanceof Error ? error.message : String(error);
    return problemDocument(INTERNAL_ERROR, INTERNAL_CODE, detail);
  }
}

function routeCall(request: IncomingMessage, limits: BodyLimits): RouteCall {
  const url = parseUrl(request.url ?? "/");
  return {
    method: request.method ?? "GET",
    path: url.pathname.split("/").slice(1).map(decodeURIComponent),
    query: url.searchParams,
    headers: request.headers,
    async body() {
      const result = await readBody(request, limits);
      if (result.isErr()) throw new RefusedCall(result.error);
      return result.value;
    },
  };
}

function parseUrl(text: string): URL {
  try {
    const url = new URL(text, "http://127.0.0.1");
    decodeURIComponent(url.pathname);
    return url;
  } catch {
    const message = diagnostics.pathUnknown;
    throw new RefusedCall(refusal(MALFORMED, message, text));
  }
}

function refuseMalformed(
  _error: Error,
  socket: Duplex,
): void {
  if (!socket.writable) return;
  socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n");
}
