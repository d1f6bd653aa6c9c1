import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";

/** The placeholder of a fake instance's URL in responses and golden files. */
export const SHOWN_URL = "http://127.0.0.1:8001";

/** A canned response to a call, such as `GET /v1/operator/status`. */
export type FakeAnswer = {
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
 * @param shownUrl the placeholder of this instance's own URL
 */
export async function startFakeInstance(
  answers: FakeAnswer[],
  peers: ReadonlyMap<string, string> = new Map(),
  shownUrl: string = SHOWN_URL,
): Promise<FakeInstance> {
  const calls: string[] = [];
  const left = new Map<string, FakeAnswer[]>();
  for (const answer of answers) {
    left.set(answer.call, [...left.get(answer.call) ?? [], answer]);
  }
  const server = createServer(async (request, response) => {
    const call = `${request.method} ${request.url}`;
    calls.push(await describeCall(call, request));
    respond(response, nextAnswer(left.get(call)), addresses);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const addresses = new Map([...peers, [shownUrl, url]]);
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

function nextAnswer(answers: FakeAnswer[] = []): FakeAnswer | undefined {
  return answers.length > 1 ? answers.shift() : answers[0];
}

function respond(
  response: ServerResponse,
  answer: FakeAnswer | undefined,
  addresses: ReadonlyMap<string, string>,
): void {
  if (answer?.body === undefined) {
    response.destroy();
    return;
  }
  response.writeHead(answer.status, { "content-type": "application/json" });
  let body = JSON.stringify(answer.body);
  for (const [shown, url] of addresses) body = body.replaceAll(shown, url);
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
