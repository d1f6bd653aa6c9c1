/** A call over HTTP. */
export type HttpRequest = {
  /** Name of the operation, such as `worker.start`; included in faults. */
  step: string;
  /** The instance, worker or service that is called; included in faults. */
  peer: string;
  method: "GET" | "POST" | "PUT" | "DELETE";
  /** Base URL of the peer, with an IP address as host. */
  url: string;
  /** Path and query below the base URL. */
  path: string;
  headers?: Record<string, string>;
  /** Sent as JSON, or as is for a `Uint8Array`; undefined sends no body. */
  body?: unknown;
  /** Timeout of the whole call, including the wait for a connection, in ms. */
  timeoutMs: number;
  /**
   * Hedging delay, in milliseconds: another attempt is made each time this
   * passes without a response, and the first response is used. Only for
   * idempotent calls.
   */
  hedgeAfterMs?: number;
  /** Maximum size of the response body, in bytes. */
  maxResponseBytes: number;
  /**
   * Whether the call is idempotent. Such a call is sent again over a new
   * connection when the pool is retired, even if it was already sent.
   */
  repeatable: boolean;
  /**
   * Whether the content may be outdated by the time at which it would be sent
   * over a new connection: the call then fails when the pool is retired, where it
   * would be sent over the new one, so that its caller can build it anew.
   */
  expiresWithPool?: boolean;
};
