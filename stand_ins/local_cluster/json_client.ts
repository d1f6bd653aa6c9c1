import { Agent, request } from "undici";

const MAX_CONNECTIONS = 64;

/** The response to a call, or the reason why there is none. */
export type Reply =
  | { kind: "answered"; status: number; body: unknown }
  /** `unsent`: the connection was refused, so nothing was sent. */
  | { kind: "failed"; unsent: boolean; cause: string };

/** Client for the JSON interfaces of the processes under test. */
export type JsonClient = {
  call(
    method: "GET" | "POST" | "PUT" | "DELETE",
    url: string,
    options?: CallOptions,
  ): Promise<Reply>;
  close(): Promise<void>;
};

/** Options of one call. */
export type CallOptions = {
  /** Bearer token. */
  token?: string;
  body?: unknown;
  headers?: Record<string, string>;
  timeoutMs?: number;
};

const DEFAULT_TIMEOUT_MS = 10_000;

/** Creates an HTTP client for callers and operators. */
export function createJsonClient(): JsonClient {
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS });

  async function call(
    method: "GET" | "POST" | "PUT" | "DELETE",
    url: string,
    options: CallOptions = {},
  ): Promise<Reply> {
    const { token, body, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
    const headers: Record<string, string> = { ...options.headers };
    if (token !== undefined) headers["authorization"] = `Bearer ${token}`;
    if (body !== undefined) headers["content-type"] = "application/json";
    try {
      const reply = await request(url, {
        dispatcher,
        method,
        headers,
        signal: AbortSignal.timeout(timeoutMs),
        body: body === undefined ? null : JSON.stringify(body),
      });
      const text = await reply.body.text();
      const parsed = text === "" ? undefined : JSON.parse(text);
      return { kind: "answered", status: reply.statusCode, body: parsed };
    } catch (error) {
      const { code, message } = error as Error & { code?: string };
      const unsent = code === "ECONNREFUSED";
      return { kind: "failed", unsent, cause: `${code ?? ""} ${message}` };
    }
  }

  return { call, close: () => dispatcher.destroy() };
}
