/**
 * Guards against timing out a call whose response has already arrived: while
 * the event loop is blocked, the timeout passes before the socket is read.
 */
import assert from "node:assert/strict";
import { it } from "node:test";
import { createScriptedServer } from "../../stand_ins/scripted/mod.ts";
import { createHttpClient } from "./mod.ts";

const TIMEOUT_MS = 100;
const BLOCKED_MS = 400;

/** Blocks the event loop, as long computations or garbage collections do. */
function blockEventLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) { /* Busy wait. */ }
}

it("http client: a response that waits to be read is not a timeout", async () => {
  const server = await createScriptedServer((_, response) => {
    response.end("{}");
    // The server shares this event loop; the response is already sent.
    setImmediate(() => blockEventLoop(BLOCKED_MS));
  });
  const client = createHttpClient({
    connectionsPerOrigin: 1,
    connectTimeoutMs: 5_000,
  });
  const exchange = await client.exchange({
    step: "test.call",
    peer: "server",
    method: "GET",
    url: server.url,
    path: "/",
    timeoutMs: TIMEOUT_MS,
    maxResponseBytes: 1_000,
    repeatable: false,
  }, new AbortController().signal);
  await client.close();
  await server.close();
  assert.equal(exchange.kind, "answered");
});
