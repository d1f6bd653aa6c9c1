import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import * as v from "valibot";
import { assertNever } from "../base/mod.ts";
import { createFault } from "../clients/create_fault.ts";
import { exchangeHttp, type HttpExchange } from "../clients/http_exchange.ts";
import type { HttpRequest } from "../clients/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { problemSchema } from "./problem.ts";

const CONNECT_TIMEOUT_MS = 3_000;
const CONNECTIONS_PER_ORIGIN = 2;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
const FIRST_SERVER_ERROR_STATUS = 500;
/** Server errors that an instance sends only if the call had no effect. */
const REFUSING_SERVER_ERROR_STATUSES = [503, 507];

/** Sends HTTP requests to entry instances and parses the responses. */
export type ApiTransport = {
  /**
   * Sends a request and returns the parsed JSON of a 2xx response. A fault
   * read from a problem document carries that document as its data; its kind
   * is `refused`, or `unknown` if the status means that the call may still
   * take effect.
   */
  call(request: HttpRequest): Promise<Result<unknown, Fault>>;
  /** Closes every connection; calls in flight fail. */
  close(): Promise<void>;
};

/**
 * Builds the transport that API clients share, with a connection pool for
 * each origin.
 *
 * @example
 * ```ts
 * const transport = createApiTransport(terminal.signal);
 * const response = await transport.call(request);
 * await transport.close();
 * ```
 *
 * @param signal aborts calls in flight
 */
export function createApiTransport(signal: AbortSignal): ApiTransport {
  const pools = new Map<string, Pool>();
  const neverAborted = new AbortController().signal;
  return {
    async call(request) {
      const exchange = await exchangeHttp(
        getOrCreatePool(pools, request.url),
        request,
        request.timeoutMs,
        signal,
        neverAborted,
      );
      return toResult(request, exchange);
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}

function getOrCreatePool(pools: Map<string, Pool>, url: string): Pool {
  const { origin } = new URL(url);
  const existing = pools.get(origin);
  if (existing !== undefined) return existing;
  const pool = new Pool(origin, {
    connections: CONNECTIONS_PER_ORIGIN,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  pools.set(origin, pool);
  return pool;
}

function toResult(
  request: HttpRequest,
  exchange: HttpExchange,
): Result<unknown, Fault> {
  const { peer, timeoutMs, maxResponseBytes } = request;
  switch (exchange.kind) {
    case "answered":
      return parseResponse(
        request,
        exchange.status,
        exchange.body.toString("utf8"),
      );
    case "timedOut": {
      const kind = exchange.sent ? "unknown" : "unsent";
      const { callTimedOut } = diagnostics;
      return err(createFault(request, kind, callTimedOut, [peer, timeoutMs]));
    }
    case "aborted":
      return err(connectionFault(request, exchange.sent, "interrupted"));
    case "broken":
      return err(connectionFault(request, exchange.sent, exchange.cause));
    case "oversized":
      return err(
        invalidResponseFault(request, `longer than ${maxResponseBytes} bytes`),
      );
    case "moved":
      return err(
        connectionFault(request, false, "the connection was abandoned"),
      );
    default:
      return assertNever(exchange);
  }
}

function parseResponse(
  request: HttpRequest,
  status: number,
  text: string,
): Result<unknown, Fault> {
  const json = parseJson(text);
  if (json.isErr()) return err(invalidResponseFault(request, json.error));
  const isSuccess = status >= FIRST_SUCCESS_STATUS &&
    status < FIRST_REDIRECT_STATUS;
  return isSuccess
    ? ok(json.value)
    : err(parseErrorResponse(request, status, json.value));
}

function parseErrorResponse(
  request: HttpRequest,
  status: number,
  json: unknown,
): Fault {
  const { step, peer } = request;
  const parsed = v.safeParse(problemSchema, json);
  if (!parsed.success) {
    const { callRefused } = diagnostics;
    const cause = "no reason given";
    return createFault(request, "unknown", callRefused, [peer, status, cause]);
  }
  const { code, detail } = parsed.output;
  const isRejection = status < FIRST_SERVER_ERROR_STATUS ||
    REFUSING_SERVER_ERROR_STATUSES.includes(status);
  return {
    kind: isRejection ? "refused" : "unknown",
    code,
    step,
    peer,
    message: detail,
    data: parsed.output,
  };
}

function parseJson(text: string): Result<unknown, string> {
  if (text === "") return ok(undefined);
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

function connectionFault(
  request: HttpRequest,
  sent: boolean,
  cause: string,
): Fault {
  const { connectionLost, peerUnreachable } = diagnostics;
  return sent
    ? createFault(request, "unknown", connectionLost, [request.peer, cause])
    : createFault(request, "unsent", peerUnreachable, [request.peer, cause]);
}

function invalidResponseFault(request: HttpRequest, cause: string): Fault {
  const { answerInvalid } = diagnostics;
  return createFault(request, "unknown", answerInvalid, [request.peer, cause]);
}
