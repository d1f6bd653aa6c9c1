import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { HttpRequest } from "./http_request.ts";
import type { RequestPool } from "./slow_start_pool.ts";
import { timerDelayMs } from "./timer_delay.ts";

/** The outcome of one attempt to send a request and read its response. */
export type HttpExchange =
  | { kind: "answered"; status: number; body: Buffer }
  /** The connection failed; `sent` is true if bytes may have been sent. */
  | { kind: "broken"; sent: boolean; cause: string }
  | { kind: "timedOut"; sent: boolean }
  | { kind: "aborted"; sent: boolean }
  /** The response is longer than the request allows. */
  | { kind: "oversized" }
  /** The pool was retired; the request may be sent over a new one. */
  | { kind: "moved" };

/** The outcome of a call that needs no further attempt over a new pool. */
export type FinishedExchange = Exclude<HttpExchange, { kind: "moved" }>;

const SCHEME_END = "://";
/** How long a connection is kept for a late response, in milliseconds. */
const LATE_RESPONSE_MS = 2_000;

/**
 * Sends a request over a connection pool and reads the response. If a blocked
 * event loop delays the timeout, the attempt is extended once, so that
 * responses which arrived meanwhile are read.
 *
 * @param timeoutMs timeout of the attempt, in milliseconds
 * @param signal aborts the attempt
 * @param retired aborts when the pool is retired
 * @param mayAnswerLate whether the connection of a request that timed out is
 * kept for a while; a late response frees it for other requests
 */
export function exchangeHttp(
  pool: RequestPool,
  request: HttpRequest,
  timeoutMs: number,
  signal: AbortSignal,
  retired: AbortSignal,
  mayAnswerLate: () => boolean = () => false,
): Promise<HttpExchange> {
  return new Promise((resolve) => {
    const attempt = createAttempt(request, resolve);
    let dueMs = performance.now() + timeoutMs;
    let isExtended = false;
    const expire = () => {
      const lateMs = timerDelayMs(dueMs);
      if (lateMs > 0 && !isExtended) {
        // Arrived data is read before the timer fires again.
        isExtended = true;
        dueMs += 2 * lateMs;
        timer = setTimeout(expire, lateMs);
        return;
      }
      const abortAfterMs = attempt.isSent() && mayAnswerLate()
        ? LATE_RESPONSE_MS
        : 0;
      attempt.end({ kind: "timedOut", sent: attempt.isSent() }, abortAfterMs);
    };
    let timer = setTimeout(expire, timeoutMs);
    const endAborted = () => {
      attempt.end({ kind: "aborted", sent: attempt.isSent() });
    };
    const moveIfAllowed = () => {
      const mayMove = request.repeatable || !attempt.isSent();
      if (!mayMove) return;
      if (request.expiresWithPool === true) return endAborted();
      attempt.end({ kind: "moved" });
    };
    attempt.onEnd(() => {
      clearTimeout(timer);
      signal.removeEventListener("abort", endAborted);
      retired.removeEventListener("abort", moveIfAllowed);
    });
    signal.addEventListener("abort", endAborted);
    retired.addEventListener("abort", moveIfAllowed);
    if (signal.aborted) {
      endAborted();
      return;
    }
    pool.dispatch(createDispatchOptions(request), attempt.handler);
  });
}

type Attempt = {
  handler: Dispatcher.DispatchHandler;
  isSent(): boolean;
  /**
   * Ends the attempt; has no effect after the first call.
   *
   * @param abortAfterMs how long a response is still accepted and discarded, so
   * that its connection can be used again
   */
  end(exchange: HttpExchange, abortAfterMs?: number): void;
  /** Sets the function that is called when the attempt ends. */
  onEnd(callback: () => void): void;
};

function createAttempt(
  request: HttpRequest,
  resolve: (exchange: HttpExchange) => void,
): Attempt {
  const chunks: Buffer[] = [];
  let controller: Dispatcher.DispatchController | undefined;
  let cleanUp = () => {};
  let isSent = false;
  let isEnded = false;
  let lateTimer: NodeJS.Timeout | undefined;
  let status = 0;
  let receivedBytes = 0;

  function end(exchange: HttpExchange, abortAfterMs = 0): void {
    if (isEnded) {
      clearTimeout(lateTimer);
      return;
    }
    isEnded = true;
    cleanUp();
    if (exchange.kind !== "answered" && exchange.kind !== "broken") {
      const abort = () => controller?.abort(new Error(exchange.kind));
      if (abortAfterMs === 0) abort();
      else lateTimer = setTimeout(abort, abortAfterMs).unref();
    }
    resolve(exchange);
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      // An attempt that ended while queued must not be sent.
      if (isEnded) {
        started.abort(
          new Error("the attempt ended while the request was queued"),
        );
        return;
      }
      controller = started;
      isSent = true;
    },
    onResponseStart(_controller, statusCode) {
      status = statusCode;
    },
    onResponseData(_controller, chunk) {
      if (isEnded) return;
      receivedBytes += chunk.length;
      if (receivedBytes > request.maxResponseBytes) end({ kind: "oversized" });
      else chunks.push(chunk);
    },
    onResponseEnd() {
      end({ kind: "answered", status, body: Buffer.concat(chunks) });
    },
    onResponseError(_controller, error) {
      end({ kind: "broken", sent: isSent, cause: error.message });
    },
  };
  return {
    handler,
    end,
    isSent: () => isSent,
    onEnd(callback) {
      cleanUp = callback;
    },
  };
}

/** Returns path and query, without URL parsing for a base URL with no path. */
function requestPath({ url, path }: HttpRequest): string {
  const hostStart = url.indexOf(SCHEME_END) + SCHEME_END.length;
  if (url.indexOf("/", hostStart) < 0 && path.startsWith("/")) return path;
  const fullUrl = new URL(path, url);
  return fullUrl.pathname + fullUrl.search;
}

function createDispatchOptions(
  request: HttpRequest,
): Dispatcher.DispatchOptions {
  const options = {
    path: requestPath(request),
    method: request.method,
    headersTimeout: 0,
    bodyTimeout: 0,
  };
  if (request.body === undefined) {
    return { ...options, headers: request.headers ?? {} };
  }
  if (request.body instanceof Uint8Array) {
    return { ...options, headers: request.headers ?? {}, body: request.body };
  }
  const headers = { "content-type": "application/json", ...request.headers };
  return { ...options, headers, body: JSON.stringify(request.body) };
}
