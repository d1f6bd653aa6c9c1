import type { ServerResponse } from "node:http";

/** What a route answers. */
export type HttpAnswer = {
  status: number;
  /** Sent as JSON; nothing is sent where it is undefined. */
  body?: unknown;
  /** Content type, `application/json` unless given. */
  type?: string;
  headers?: Record<string, string>;
};

/** Sends an answer, unless the caller has gone. */
export function sendAnswer(
  response: ServerResponse,
  answer: HttpAnswer,
): void {
  if (response.headersSent || response.destroyed) return;
  const { status, body, type = "application/json", headers = {} } = answer;
  const text = body === undefined ? "" : JSON.stringify(body);
  response.writeHead(status, {
    ...headers,
    ...(body === undefined ? {} : { "content-type": type }),
    "content-length": new TextEncoder().encode(text).length,
  });
  response.end(text);
}
