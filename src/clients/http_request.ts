/** One call over HTTP. */
export type HttpRequest = {
  /** What is being done, such as `worker.start`; goes into faults. */
  step: string;
  /** The instance, worker or service that is called; goes into faults. */
  peer: string;
  method: "GET" | "POST" | "PUT" | "DELETE";
  /** Base URL of the other side, by IP number. */
  url: string;
  /** Path and query below the base URL. */
  path: string;
  headers?: Record<string, string>;
  /** Bytes are sent as they are, anything else as JSON, undefined not. */
  body?: unknown;
  /** Time for the whole call, waiting for a connection included. */
  timeoutMs: number;
  /**
   * A call whose second arrival does no harm is sent once more whenever it has
   * had no answer for this long, in milliseconds; the first answer counts.
   */
  hedgeAfterMs?: number;
  /** The longest answer that is read, in bytes. */
  maxResponseBytes: number;
  /**
   * Whether a second arrival of the call does no harm. Such a call moves to a
   * new connection as soon as the old ones are under suspicion.
   */
  repeatable: boolean;
};
