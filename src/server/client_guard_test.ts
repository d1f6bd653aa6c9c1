/**
 * Guards against clients that send many requests ahead, or close their half of
 * the connection: the calls that were passed on are answered, one at a time.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { receiveBody } from "./read_body.ts";
import { createTestGuard } from "./testing/test_guard.ts";

const HOST = "127.0.0.1";
const BODY = "x".repeat(3_000);

let server: Server | undefined;

afterEach(() => {
  server?.close();
  server?.closeAllConnections();
});

/** Starts a server that answers with the number of calls at the same time. */
async function startServer(calls: string[] = []): Promise<number> {
  let running = 0;
  server = createTestGuard().createServer({
    name: "callers",
    keepAliveMs: 5_000,
    maxBodyBytes: () => 10_000,
  }, async (request, response) => {
    const body = await receiveBody(request, 10_000);
    calls.push(
      `${request.method} ${body.map((text) => text.length).unwrapOr(-1)}`,
    );
    running += 1;
    await delay(5);
    response.end(String(running));
    running -= 1;
  });
  server.listen(0, HOST);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

/** Sends pieces one after the other; returns all that is received. */
async function exchange(port: number, pieces: string[]): Promise<string> {
  const socket = connect(port, HOST);
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.on("error", () => {});
  for (const piece of pieces) {
    socket.write(piece);
    if (pieces.length > 1) await delay(2);
  }
  socket.end();
  await once(socket, "close");
  return text;
}

const get = "GET /a HTTP/1.1\r\nhost: a\r\n\r\n";
const post = `POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY.length}` +
  `\r\n\r\n${BODY}`;
const chunked = "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked" +
  "\r\n\r\n4\r\n\r\n\r\n\r\n3\r\nabc\r\n0\r\nt: v\r\n\r\n";

it("requests that are sent ahead are handled one at a time", async () => {
  const calls: string[] = [];
  const port = await startServer(calls);
  const requests = [get, post, chunked, get, "\r\n\r\n", chunked, post, get];
  const text = await exchange(port, [requests.join("")]);
  const expected = ["GET 0", "POST 3000", "POST 7", "GET 0"];
  assert.deepEqual(calls, [...expected, "POST 7", "POST 3000", "GET 0"]);
  assert.equal(text.match(/\r\n\r\n1/g)?.length, 7);
});

it("requests are found wherever they are split", async () => {
  const calls: string[] = [];
  const port = await startServer(calls);
  const bytes = [...`${chunked}\r\n${get}${chunked}${get}`];
  const text = await exchange(port, bytes);
  assert.deepEqual(calls, ["POST 7", "GET 0", "POST 7", "GET 0"]);
  assert.equal(text.match(/HTTP\/1\.1 200/g)?.length, 4);
});

it("empty lines without end are refused", async () => {
  const port = await startServer();
  assert.match(await exchange(port, ["\r\n".repeat(1_000)]), /^HTTP\/1\.1 400/);
});

it("heads without end are refused", async () => {
  const port = await startServer();
  const head = `GET /a HTTP/1.1\r\nhost: a\r\n${"a:\r\n".repeat(10_000)}`;
  assert.match(await exchange(port, [head]), /^HTTP\/1\.1 431/);
});
