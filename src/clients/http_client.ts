import { setMaxListeners } from "node:events";
import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { assertNever } from "../base/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { createFault } from "./create_fault.ts";
import { hedge } from "./hedge.ts";
import { exchangeHttp, type FinishedExchange } from "./http_exchange.ts";
import type { HttpRequest } from "./http_request.ts";
import { parseErrorResponse } from "./error_response.ts";
import { createSlowStartPool, type SlowStartPool } from "./slow_start_pool.ts";

const DEFAULT_KEEP_ALIVE_MS = 10_000;
/** No attempt is made in less time, in milliseconds. */
const MIN_ATTEMPT_MS = 1;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

/** Options of an HTTP client. */
export type HttpClientOptions = {
  /** Maximum number of open connections per origin. */
  connectionsPerOrigin: number;
  /** Timeout for opening a connection, in milliseconds. */
  connectTimeoutMs: number;
  /** How long an idle connection stays open, in milliseconds; default 10 s. */
  keepAliveMs?: number;
  /**
   * For origins that may be overloaded: requests that may be in flight at once
   * after a timeout, where each response allows one more. A timeout then
   * replaces the connections only if none had a response in the meantime.
   */
  requestsAfterTimeout?: number;
};

/** Calls other processes over HTTP and classifies failures as faults. */
export type HttpClient = {
  /**
   * Makes a call and returns the parsed JSON body of a 2xx response, or
   * `undefined` if the body is empty.
   *
   * A fault is `refused` only if the peer reports a refusal with a diagnostic
   * code, `unsent` only if no byte of the request can have been sent, and
   * `unknown` otherwise.
   */
  call(
    request: HttpRequest,
    signal: AbortSignal,
  ): Promise<Result<unknown, Fault>>;
  /** Makes a call and returns the raw status and body. */
  exchange(
    request: HttpRequest,
    signal: AbortSignal,
  ): Promise<FinishedExchange>;
  /** Destroys all connections; calls in flight and later calls fail. */
  close(): Promise<void>;
};

type Origin = {
  pool: Pool;
  /** The pool with a limit on requests, if the origin had a timeout before. */
  slowStart?: SlowStartPool;
  /** Aborts when the pool is retired. */
  retired: AbortController;
  /** Whether a response has arrived over this pool. */
  hasAnswered: boolean;
  /** When the last response arrived, in milliseconds of `performance.now()`. */
  lastResponseAtMs: number;
};

type State = {
  options: HttpClientOptions;
  /** Origins by the base URL given in requests. */
  origins: Map<string, Origin>;
  /** URLs of origins whose latest pool was retired. */
  retiredUrls: Set<string>;
  isClosed: boolean;
};

/**
 * Creates an HTTP client with a bounded connection pool per origin. After a
 * timeout the whole pool of that origin is retired, because a broken connection
 * cannot be distinguished from a slow one.
 *
 * @example
 * ```ts
 * const client = createHttpClient({
 *   connectionsPerOrigin: 4,
 *   connectTimeoutMs: 1_000,
 * });
 * const result = await client.call(request, signal);
 * ```
 */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const state: State = {
    options,
    origins: new Map(),
    retiredUrls: new Set(),
    isClosed: false,
  };
  return {
    call: async (request, signal) =>
      toResult(request, await exchange(state, request, signal)),
    exchange: (request, signal) => exchange(state, request, signal),
    close: () => closeAll(state),
  };
}

async function exchange(
  state: State,
  request: HttpRequest,
  signal: AbortSignal,
): Promise<FinishedExchange> {
  if (state.isClosed || !isKnownOrValid(state, request)) {
    const cause = state.isClosed ? "the process is stopping" : "no valid URL";
    return { kind: "broken", sent: false, cause };
  }
  const { hedgeAfterMs } = request;
  if (hedgeAfterMs === undefined) return await attempt(state, request, signal);
  return await hedge(request.timeoutMs, hedgeAfterMs, signal, {
    attempt: (timeoutMs, attemptSignal) =>
      // The next attempt replaces the retry over a new connection.
      attempt(
        state,
        { ...request, timeoutMs, repeatable: false },
        attemptSignal,
      ),
    onNoResponse: () => retireIfUnresponsive(state, request, hedgeAfterMs),
  });
}

/** Skips URL parsing for known origins; parsing for each call is too costly. */
function isKnownOrValid({ origins }: State, request: HttpRequest): boolean {
  return origins.has(request.url) ||
    URL.canParse(request.path, request.url);
}

async function attempt(
  state: State,
  request: HttpRequest,
  signal: AbortSignal,
): Promise<FinishedExchange> {
  const startedAtMs = performance.now();
  const deadlineMs = startedAtMs + request.timeoutMs;
  const { url } = request;
  while (true) {
    const origin = getOrCreateOrigin(state, url);
    const exchange = await exchangeHttp(
      origin.slowStart ?? origin.pool,
      request,
      Math.max(MIN_ATTEMPT_MS, deadlineMs - performance.now()),
      signal,
      origin.retired.signal,
      () => isOverloaded(state, origin, true, startedAtMs),
    );
    if (exchange.kind === "answered") {
      origin.hasAnswered = true;
      origin.lastResponseAtMs = performance.now();
    }
    const isUnresponsive = exchange.kind === "timedOut" &&
      !isOverloaded(state, origin, exchange.sent, startedAtMs);
    if (isUnresponsive) retire(state, url, origin);
    if (exchange.kind !== "moved") return exchange;
    if (deadlineMs - performance.now() < MIN_ATTEMPT_MS) {
      return { kind: "timedOut", sent: false };
    }
  }
}

/** Whether a timeout shows an overloaded origin and no broken connections. */
function isOverloaded(
  { options }: State,
  { slowStart, hasAnswered, lastResponseAtMs }: Origin,
  wasSent: boolean,
  startedAtMs: number,
): boolean {
  if (options.requestsAfterTimeout === undefined) return false;
  // New connections may still wait to be accepted.
  const isWaiting = slowStart !== undefined && (!wasSent || !hasAnswered);
  return isWaiting || lastResponseAtMs > startedAtMs;
}

function toResult(
  request: HttpRequest,
  exchange: FinishedExchange,
): Result<unknown, Fault> {
  const { peer, timeoutMs, maxResponseBytes } = request;
  switch (exchange.kind) {
    case "answered":
      return parseResponse(
        request,
        exchange.status,
        exchange.body.toString("utf8"),
      );
    case "timedOut":
      return err(createFault(
        request,
        exchange.sent ? "unknown" : "unsent",
        diagnostics.callTimedOut,
        [peer, timeoutMs],
      ));
    case "aborted":
      return err(
        connectionFault(request, exchange.sent, "the call was aborted"),
      );
    case "broken":
      return err(connectionFault(request, exchange.sent, exchange.cause));
    case "oversized":
      return err(createFault(request, "unknown", diagnostics.answerInvalid, [
        peer,
        `longer than ${maxResponseBytes} bytes`,
      ]));
    default:
      return assertNever(exchange);
  }
}

function connectionFault(
  request: HttpRequest,
  sent: boolean,
  cause: string,
): Fault {
  const { peer } = request;
  if (sent) {
    return createFault(request, "unknown", diagnostics.connectionLost, [
      peer,
      cause,
    ]);
  }
  return createFault(request, "unsent", diagnostics.peerUnreachable, [
    peer,
    cause,
  ]);
}

function parseResponse(
  request: HttpRequest,
  status: number,
  text: string,
): Result<unknown, Fault> {
  const isSuccess = status >= FIRST_SUCCESS_STATUS &&
    status < FIRST_REDIRECT_STATUS;
  const body = parseJson(text);
  if (!isSuccess) return err(parseErrorResponse(request, status, body));
  if (body.isErr()) {
    return err(createFault(request, "unknown", diagnostics.answerInvalid, [
      request.peer,
      body.error,
    ]));
  }
  return ok(body.value);
}

function parseJson(text: string): Result<unknown, string> {
  if (text === "") return ok(undefined);
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

function getOrCreateOrigin(state: State, url: string): Origin {
  const existing = state.origins.get(url);
  if (existing !== undefined) return existing;
  const {
    connectionsPerOrigin,
    connectTimeoutMs,
    keepAliveMs,
    requestsAfterTimeout = connectionsPerOrigin,
  } = state.options;
  const keepAliveTimeout = keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS;
  const pool = new Pool(new URL(url).origin, {
    connections: connectionsPerOrigin,
    pipelining: 1,
    keepAliveTimeout,
    keepAliveMaxTimeout: keepAliveTimeout,
    connect: { timeout: connectTimeoutMs },
  });
  const retired = new AbortController();
  // Each call in flight adds a listener.
  setMaxListeners(0, retired.signal);
  const isLimited = state.retiredUrls.has(url) &&
    requestsAfterTimeout < connectionsPerOrigin;
  const slowStart = isLimited
    ? createSlowStartPool(pool, {
      initialRequests: requestsAfterTimeout,
      maxRequests: connectionsPerOrigin,
    })
    : undefined;
  const origin = {
    pool,
    ...(slowStart === undefined ? {} : { slowStart }),
    retired,
    hasAnswered: false,
    lastResponseAtMs: performance.now(),
  };
  state.origins.set(url, origin);
  return origin;
}

/** Retires an origin's pool if no response arrived within the given time. */
function retireIfUnresponsive(
  state: State,
  request: HttpRequest,
  unresponsiveMs: number,
): void {
  const origin = state.origins.get(request.url);
  if (origin === undefined) return;
  if (performance.now() - origin.lastResponseAtMs < unresponsiveMs) return;
  retire(state, request.url, origin);
}

/** Retires an origin's pool; requests in flight may still complete. */
function retire(state: State, url: string, origin: Origin): void {
  if (state.origins.get(url) !== origin) return;
  state.origins.delete(url);
  state.retiredUrls.add(url);
  origin.slowStart?.close();
  origin.pool.close().catch(() => {});
  origin.retired.abort();
}

async function closeAll(state: State): Promise<void> {
  state.isClosed = true;
  const origins = [...state.origins.values()];
  state.origins.clear();
  await Promise.all(origins.map(({ pool, slowStart }) => {
    slowStart?.close();
    return pool.destroy();
  }));
}
