import assert from "node:assert/strict";
import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { createRandomness } from "../clients/mod.ts";
import {
  type Call,
  createScheduler,
  DEFAULT_SCHEDULER_OPTIONS,
  type Scheduler,
} from "../instance/mod.ts";
import { createCallerRoute } from "./caller_route.ts";
import { createHealthRoute } from "./health_route.ts";
import { createHttpServer } from "./http_server.ts";
import { createPeerRoute } from "./peer_route.ts";

const MAX_BYTES = 4_096;
const CREDENTIALS = {
  customers: { press: ["token-of-the-press"] },
  operators: { uwimana: "token-of-the-operator" },
  secret: "secret-of-the-cluster",
};
const AUTHORIZATION = "Bearer token-of-the-press";

test("server: an unknown or missing token is refused", async () => {
  await withServer(async (url, calls) => {
    for (const authorization of ["", "Bearer wrong", "Basic x", "Bearer "]) {
      const reply = await fetch(`${url}/v1/requests`, {
        method: "POST",
        headers: { authorization },
      });
      assert.equal(reply.status, 401);
      assert.equal((await problemOf(reply)).code, 3004);
    }
    assert.equal(calls.length, 0);
  });
});

test("server: a customer's token does not open the peers' interface", async () => {
  await withServer(async (url, calls) => {
    const reply = await fetch(`${url}/rpc`, {
      method: "POST",
      headers: { authorization: AUTHORIZATION },
      body: JSON.stringify({ jsonrpc: "2.0", id: 1, method: "lookup" }),
    });
    assert.equal(reply.status, 401);
    assert.equal(calls.length, 0);
  });
});

test("server: malformed, invalid and oversized bodies change nothing", async () => {
  await withServer(async (url, calls) => {
    const bodies: [string, number, number][] = [
      ["{", 400, 3002],
      ["[]", 400, 3003],
      ['{"agreement":"a","work":"w","tasks":[]}', 400, 3003],
      ['{"agreement":"a","work":"w","tasks":[{}],"extra":1}', 400, 3003],
      [`{"agreement":"${"x".repeat(MAX_BYTES)}"}`, 413, 3001],
    ];
    for (const [body, status, code] of bodies) {
      const reply = await fetch(`${url}/v1/requests/some-id`, {
        method: "PUT",
        headers: { authorization: AUTHORIZATION },
        body,
      });
      const document = await problemOf(reply);
      assert.deepEqual([reply.status, document.code], [status, code]);
      assert.equal(
        reply.headers.get("content-type"),
        "application/problem+json",
      );
      assert.equal("ran" in document, false);
    }
    assert.equal(calls.length, 0);
  });
});

test("server: an oversized body without a length is cut off", async () => {
  await withServer(async (url, calls) => {
    const chunk = "x".repeat(1_000);
    const head = [
      "PUT /v1/requests/some-id HTTP/1.1",
      "host: x",
      `authorization: ${AUTHORIZATION}`,
      "transfer-encoding: chunked",
      "",
      "",
    ].join("\r\n");
    const chunks = `3e8\r\n${chunk}\r\n`.repeat(10);
    const answer = await exchange(url, head + chunks);
    assert.match(answer, /^HTTP\/1\.1 413 /);
    assert.equal(calls.length, 0);
  });
});

test("server: a body that never ends is given up", async () => {
  await withServer(async (url, calls) => {
    const head = [
      "PUT /v1/requests/some-id HTTP/1.1",
      "host: x",
      `authorization: ${AUTHORIZATION}`,
      "content-length: 100",
      "",
      '{"agreement":',
    ].join("\r\n");
    await exchange(url, head);
    assert.equal(calls.length, 0);
  });
});

test("server: huge headers and broken requests are refused", async () => {
  await withServer(async (url, calls) => {
    const long = `GET /healthz HTTP/1.1\r\nhost: x\r\nx: ${"y".repeat(20_000)}`;
    assert.match(await exchange(url, `${long}\r\n\r\n`), /^HTTP\/1\.1 4\d\d /);
    assert.match(await exchange(url, "\0\0\0\r\n\r\n"), /^HTTP\/1\.1 400 /);
    const reply = await fetch(`${url}/%ff%fe`);
    assert.equal(reply.status, 400);
    assert.equal(calls.length, 0);
  });
});

test("server: unknown paths and methods are refused", async () => {
  await withServer(async (url) => {
    const headers = { authorization: AUTHORIZATION };
    assert.equal((await fetch(`${url}/v2/x`, { headers })).status, 404);
    const patch = { method: "PATCH", headers };
    assert.equal((await fetch(`${url}/v1/requests`, patch)).status, 405);
    const reply = await fetch(`${url}/v1/requests/x?waitMs=-1`, { headers });
    assert.equal(reply.status, 400);
  });
});

test("server: peers' messages are checked against their schema", async () => {
  await withServer(async (url, calls) => {
    const messages: unknown[] = [
      null,
      { lamport: 1 },
      { lamport: 1, message: { kind: "move" } },
      { lamport: 1, message: { kind: "heartbeat", frame: {} } },
      { lamport: 1, message: { kind: "manifest", afterVersion: "x" } },
    ];
    for (const params of messages) {
      const reply = await fetch(`${url}/rpc`, {
        method: "POST",
        headers: { authorization: `Bearer ${CREDENTIALS.secret}` },
        body: JSON.stringify({ jsonrpc: "2.0", id: 1, method: "move", params }),
      });
      assert.equal((await problemOf(reply)).error?.code, -32_602);
    }
    assert.equal(calls.length, 0);
  });
});

type Problem = { code?: number; error?: { code: number } };

async function problemOf(reply: Response): Promise<Problem> {
  return await reply.json() as Problem;
}

async function withServer(
  use: (url: string, calls: Call[]) => Promise<void>,
): Promise<void> {
  const calls: Call[] = [];
  const scheduler = idleScheduler();
  const host = {
    scheduler,
    credentials: CREDENTIALS,
    call(call: Call) {
      calls.push(call);
      return Promise.resolve({ kind: "issued", id: "id" });
    },
  };
  const server = createHttpServer([
    createHealthRoute(scheduler),
    createPeerRoute(host),
    createCallerRoute(host),
  ], { maxBytes: MAX_BYTES, timeoutMs: 300, maxConnections: 100 });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  try {
    await use(`http://127.0.0.1:${portOf(server)}`, calls);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

function idleScheduler(): Scheduler {
  return createScheduler(
    {
      id: "kigali-1",
      incarnation: "x1",
      zone: "kigali",
      region: "rwanda",
      url: "http://127.0.0.1:1",
    },
    { ...DEFAULT_SCHEDULER_OPTIONS, secret: CREDENTIALS.secret, seeds: [] },
    createRandomness(1),
    { steadyMs: 0, wallMs: 0 },
  );
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Sends raw text and returns what came back until the connection closed. */
async function exchange(url: string, text: string): Promise<string> {
  const socket = connect(Number(new URL(url).port), "127.0.0.1");
  let answer = "";
  socket.on("data", (data) => {
    answer += data.toString();
    socket.end();
  });
  socket.on("error", () => {});
  socket.write(text);
  await once(socket, "close");
  return answer;
}
