import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";

/** The placeholder of a fake instance's URL in responses and golden files. */
export const PLACEHOLDER_URL = "http://127.0.0.1:8001";

/** A canned response to a call, such as `GET /v1/operator/status`. */
export type FakeResponse = {
  /** The method and the path with its query, separated by a space. */
  call: string;
  status: number;
  /** Sent as JSON; if absent, the connection is closed without a response. */
  body?: unknown;
};

/** An HTTP server that sends canned responses and records the calls. */
export type FakeInstance = {
  url: string;
  /** The calls so far, one line each; the test removes those it has read. */
  calls: string[];
  close(): Promise<void>;
};

/**
 * Starts a server on 127.0.0.1 that sends canned responses. Several responses
 * to one call are sent in order, and the last one is repeated.
 *
 * @example
 * ```ts
 * const fake = await startFakeInstance([
 *   { call: "GET /v1/operator/status", status: 200, body: status },
 * ]);
 * ```
 *
 * @param peers URLs of further instances by their placeholders in responses
 * @param placeholderUrl the placeholder of this instance's own URL
 */
export async function startFakeInstance(
  responses: FakeResponse[],
  peers: ReadonlyMap<string, string> = new Map(),
  placeholderUrl: string = PLACEHOLDER_URL,
): Promise<FakeInstance> {
  const calls: string[] = [];
  const pendingResponses = new Map<string, FakeResponse[]>();
  for (const fakeResponse of responses) {
    pendingResponses.set(fakeResponse.call, [
      ...pendingResponses.get(fakeResponse.call) ?? [],
      fakeResponse,
    ]);
  }
  const server = createServer(async (request, response) => {
    const call = `${request.method} ${request.url}`;
    calls.push(await describeCall(call, request));
    sendResponse(
      response,
      takeNextResponse(pendingResponses.get(call)),
      addresses,
    );
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const addresses = new Map([...peers, [placeholderUrl, url]]);
  return {
    url,
    calls,
    async close() {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}

function takeNextResponse(
  responses: FakeResponse[] = [],
): FakeResponse | undefined {
  return responses.length > 1 ? responses.shift() : responses[0];
}

function sendResponse(
  response: ServerResponse,
  fakeResponse: FakeResponse | undefined,
  addresses: ReadonlyMap<string, string>,
): void {
  if (fakeResponse?.body === undefined) {
    response.destroy();
    return;
  }
  response.writeHead(fakeResponse.status, {
    "content-type": "application/json",
  });
  let body = JSON.stringify(fakeResponse.body);
  for (const [placeholder, url] of addresses) {
    body = body.replaceAll(placeholder, url);
  }
  response.end(body);
}

async function describeCall(
  call: string,
  request: IncomingMessage,
): Promise<string> {
  const { authorization, "idempotency-key": key } = request.headers;
  const body = await text(request);
  const parts = [
    call,
    authorization === undefined ? "without a token" : `as ${authorization}`,
    key === undefined ? "" : `under key ${key}`,
    body,
  ];
  return parts.filter((part) => part !== "").join(" ");
}
