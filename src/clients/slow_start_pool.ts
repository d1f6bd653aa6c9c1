import type { Dispatcher } from "undici";

/** The part of a connection pool that sends requests. */
export type RequestPool = Pick<Dispatcher, "dispatch">;

/** How many requests may be in flight at once. */
export type SlowStartOptions = {
  /** The limit before the first response. */
  initialRequests: number;
  /** The limit that is never exceeded. */
  maxRequests: number;
};

/** A pool that queues the requests beyond its limit. */
export type SlowStartPool = RequestPool & {
  /** Drops the queued requests; those in flight may still complete. */
  close(): void;
};

type QueuedRequest = {
  options: Dispatcher.DispatchOptions;
  handler: Dispatcher.DispatchHandler;
};

/**
 * Limits the requests in flight, and thereby the connections, to a peer that
 * may be overloaded. The limit grows by one with each response.
 *
 * @example
 * ```ts
 * const limited = createSlowStartPool(pool, {
 *   initialRequests: 2,
 *   maxRequests: 16,
 * });
 * limited.dispatch(options, handler);
 * ```
 */
export function createSlowStartPool(
  pool: RequestPool,
  { initialRequests, maxRequests }: SlowStartOptions,
): SlowStartPool {
  let queue: QueuedRequest[] = [];
  let limit = initialRequests;
  let inFlight = 0;

  function dispatch(request: QueuedRequest): boolean {
    inFlight += 1;
    return pool.dispatch(request.options, trackEnd(request.handler, onEnd));
  }

  function onEnd(hasResponse: boolean): void {
    inFlight -= 1;
    if (hasResponse) limit = Math.min(limit + 1, maxRequests);
    // After a timeout, the pool may be closed before the next request is sent.
    if (hasResponse) sendQueued();
    else setImmediate(sendQueued);
  }

  function sendQueued(): void {
    while (inFlight < limit) {
      const next = queue.shift();
      if (next === undefined) return;
      dispatch(next);
    }
  }

  return {
    dispatch(options, handler) {
      const request = { options, handler };
      if (inFlight < limit) return dispatch(request);
      queue.push(request);
      return false;
    },
    close() {
      queue = [];
    },
  };
}

/** Calls a function once the request has ended, with or without a response. */
function trackEnd(
  handler: Dispatcher.DispatchHandler,
  onEnd: (hasResponse: boolean) => void,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) =>
      handler.onRequestStart?.(controller, context),
    onResponseStart: (controller, status, headers, message) =>
      handler.onResponseStart?.(controller, status, headers, message),
    onResponseData: (controller, chunk) =>
      handler.onResponseData?.(controller, chunk),
    onResponseEnd(controller, trailers) {
      handler.onResponseEnd?.(controller, trailers);
      onEnd(true);
    },
    onResponseError(controller, error) {
      handler.onResponseError?.(controller, error);
      onEnd(false);
    },
  };
}
