/**
 * Guards against overloading a peer that is behind with new connections: each
 * timeout replaced all connections to it, until its queue of connections to
 * accept was full and it answered no probe.
 */
import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { it } from "node:test";
import { createScriptedServer } from "../../stand_ins/scripted/mod.ts";
import { createHttpClient } from "./mod.ts";

const CONNECTIONS = 8;
/** Longer than all calls take to arrive, in milliseconds. */
const SHORT_TIMEOUT_MS = 1_000;
const NO_TIMEOUT_MS = 600_000;
/** Time in which further requests would arrive, in milliseconds. */
const SETTLE_MS = 100;

type Peer = {
  /** The responses to the requests that have arrived. */
  held: ServerResponse[];
  /** The connections on which requests have arrived. */
  connections: Set<Socket>;
  /** Calls the peer; returns how the call ended. */
  call(timeoutMs: number): Promise<string>;
};

it("http client: a peer that is behind gets few requests and connections at once", async () => {
  await withPeer(async ({ held, call }) => {
    const callAll = (timeoutMs: number) =>
      Promise.all(Array.from({ length: CONNECTIONS }, () => call(timeoutMs)));
    const timedOut = callAll(SHORT_TIMEOUT_MS);
    await waitUntil(() => held.length === CONNECTIONS);
    assert.deepEqual(new Set(await timedOut), new Set(["timedOut"]));
    held.length = 0;
    const calls = callAll(NO_TIMEOUT_MS);
    // One call at first; each response allows one more beside its successor.
    for (const expected of [1, 2, 4, 1]) {
      await waitUntil(() => held.length >= expected);
      await settle();
      assert.equal(held.length, expected);
      for (const response of held.splice(0)) response.end("{}");
    }
    assert.deepEqual(new Set(await calls), new Set(["answered"]));
  });
});

it("http client: connections of a peer that answers others are kept after a timeout", async () => {
  await withPeer(async ({ held, connections, call }) => {
    const timedOut = call(2 * SETTLE_MS);
    await waitUntil(() => held.length === 1);
    const answered = call(NO_TIMEOUT_MS);
    await waitUntil(() => held.length === 2);
    held[1]?.end("{}");
    assert.equal(await answered, "answered");
    assert.equal(await timedOut, "timedOut");
    const next = call(NO_TIMEOUT_MS);
    await waitUntil(() => held.length === 3);
    held[2]?.end("{}");
    assert.equal(await next, "answered");
    assert.equal(connections.size, 2);
  });
});

it("http client: a response after the timeout frees its connection for further calls", async () => {
  await withPeer(async ({ held, connections, call }) => {
    const timedOut = call(2 * SETTLE_MS);
    await waitUntil(() => held.length === 1);
    const answered = call(NO_TIMEOUT_MS);
    await waitUntil(() => held.length === 2);
    held[1]?.end("{}");
    assert.equal(await answered, "answered");
    assert.equal(await timedOut, "timedOut");
    held[0]?.end("{}");
    await settle();
    const next = [call(NO_TIMEOUT_MS), call(NO_TIMEOUT_MS)];
    await waitUntil(() => held.length === 4);
    for (const response of held) response.end("{}");
    assert.deepEqual(await Promise.all(next), ["answered", "answered"]);
    assert.equal(connections.size, 2);
  });
});

async function withPeer(body: (peer: Peer) => Promise<void>): Promise<void> {
  const held: ServerResponse[] = [];
  const connections = new Set<Socket>();
  const server = await createScriptedServer((request, response) => {
    connections.add(request.socket);
    held.push(response);
  });
  const client = createHttpClient({
    connectionsPerOrigin: CONNECTIONS,
    connectTimeoutMs: 5_000,
    requestsAfterTimeout: 1,
  });
  const call = async (timeoutMs: number) => {
    const exchange = await client.exchange({
      step: "test.call",
      peer: "server",
      method: "POST",
      url: server.url,
      path: "/",
      body: {},
      timeoutMs,
      maxResponseBytes: 1_000,
      repeatable: false,
    }, new AbortController().signal);
    return exchange.kind;
  };
  try {
    await body({ held, connections, call });
  } finally {
    await client.close();
    await server.close();
  }
}

async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
