/**
 * The load of a process that is too busy to read answers in time.
 */
import assert from "node:assert/strict";
import { it } from "node:test";
import { createScriptedServer } from "../../stand_ins/scripted/mod.ts";
import { createHttpClient } from "./mod.ts";

const TIMEOUT_MS = 100;
const BUSY_MS = 400;

/** Holds the event loop up, as a long pass or a collection does. */
function keepBusy(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs) { /* Nothing else runs meanwhile. */ }
}

it("pattern: an answer that waits to be read is no timeout", async () => {
  const server = await createScriptedServer((_, response) => {
    response.end("{}");
    // Server and caller share the process: the answer is on its way now.
    setImmediate(() => keepBusy(BUSY_MS));
  });
  const caller = createHttpClient({
    connectionsPerOrigin: 1,
    connectTimeoutMs: 5_000,
  });
  const exchange = await caller.exchange({
    step: "test.call",
    peer: "server",
    method: "GET",
    url: server.url,
    path: "/",
    timeoutMs: TIMEOUT_MS,
    maxResponseBytes: 1_000,
    repeatable: false,
  }, new AbortController().signal);
  await caller.close();
  await server.close();
  assert.equal(exchange.kind, "answered");
});
