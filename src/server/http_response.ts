import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

/** The response that a route returns. */
export type HttpResponse = {
  status: number;
  /** Sent as JSON, or as a string for a text type; undefined sends no body. */
  body?: unknown;
  /** Content type; default `application/json`. */
  type?: string;
  headers?: Record<string, string>;
};

/** Sends a response, unless one was sent or the client has disconnected. */
export function sendResponse(
  serverResponse: ServerResponse,
  response: HttpResponse,
): void {
  if (serverResponse.headersSent || serverResponse.destroyed) return;
  const { status, body, type = "application/json", headers = {} } = response;
  const text = serializeBody(body, type);
  serverResponse.writeHead(status, {
    ...headers,
    ...(body === undefined ? {} : { "content-type": type }),
    "content-length": Buffer.byteLength(text),
  });
  serverResponse.end(text);
}

function serializeBody(body: unknown, type: string): string {
  if (body === undefined) return "";
  return type.startsWith("text/") ? String(body) : JSON.stringify(body);
}
