import type { ServerResponse } from "node:http";

/** What a route answers. */
export type HttpResponse = {
  status: number;
  /** Sent as JSON, or as it is for a text type; undefined sends nothing. */
  body?: unknown;
  /** Content type, `application/json` unless given. */
  type?: string;
  headers?: Record<string, string>;
};

/** Sends an answer, unless the caller has gone. */
export function sendResponse(
  response: ServerResponse,
  answer: HttpResponse,
): void {
  if (response.headersSent || response.destroyed) return;
  const { status, body, type = "application/json", headers = {} } = answer;
  const text = serializeBody(body, type);
  response.writeHead(status, {
    ...headers,
    ...(body === undefined ? {} : { "content-type": type }),
    "content-length": new TextEncoder().encode(text).length,
  });
  response.end(text);
}

function serializeBody(body: unknown, type: string): string {
  if (body === undefined) return "";
  return type.startsWith("text/") ? String(body) : JSON.stringify(body);
}
