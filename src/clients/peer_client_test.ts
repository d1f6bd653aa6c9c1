import assert from "node:assert/strict";
import { test } from "node:test";
import type { Result } from "neverthrow";
import { createScriptedServer } from "../../stand_ins/scripted/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { createHttpClient, createPeerClient } from "./mod.ts";

const NEVER_ABORTED = new AbortController().signal;
const TIMEOUT_MS = 60_000;

type Request = { id: number; method: string; params: unknown };
type Response = { id?: number; result?: unknown; error?: unknown };

test("peer client: a call with the cluster's secret returns the result", async () => {
  const echo = ({ method, params }: Request) => ({
    result: { method, params },
  });
  const result = await callPeer(echo);
  assert.deepEqual(result._unsafeUnwrap(), {
    method: "move",
    params: { taskId: "t/0" },
  });
});

test("peer client: a wrong secret is reported as a refusal", async () => {
  const result = await callPeer(() => ({ result: 1 }), "wrong");
  const fault = result._unsafeUnwrapErr();
  assert.equal(fault.kind, "refused");
  assert.equal(fault.code, diagnostics.unauthenticated.code);
});

test("peer client: an error with a diagnostic code is a refusal", async () => {
  const error = { code: 2009, message: "barred", data: { by: "entry-2" } };
  const fault = (await callPeer(() => ({ error })))._unsafeUnwrapErr();
  assert.equal(fault.kind, "refused");
  assert.equal(fault.step, "peer.move");
  assert.deepEqual(fault.data, { by: "entry-2" });
});

test("peer client: an unknown method is a refusal", async () => {
  const error = { code: -32_601, message: "no such method" };
  const fault = (await callPeer(() => ({ error })))._unsafeUnwrapErr();
  assert.equal(fault.kind, "refused");
});

test("peer client: an internal error of the peer leaves the effect unknown", async () => {
  const error = { code: -32_603, message: "failed halfway" };
  const fault = (await callPeer(() => ({ error })))._unsafeUnwrapErr();
  assert.equal(fault.kind, "unknown");
});

test("peer client: a response with another request id leaves the effect unknown", async () => {
  const result = await callPeer(({ id }) => ({ id: id + 1, result: 1 }));
  const fault = result._unsafeUnwrapErr();
  assert.equal(fault.kind, "unknown");
  assert.equal(fault.code, diagnostics.answerInvalid.code);
});

test("peer client: a call to an unreachable peer is reported as unsent", async () => {
  const server = await createScriptedServer(() => {});
  await server.close();
  const result = await callUrl(server.url, "secret");
  assert.equal(result._unsafeUnwrapErr().kind, "unsent");
});

async function callPeer(
  respond: (request: Request) => Response,
  secret = "secret",
): Promise<Result<unknown, Fault>> {
  const server = await createScriptedServer((request, response, body) => {
    if (request.headers.authorization !== "Bearer secret") {
      const { code } = diagnostics.unauthenticated;
      const problem = { code, title: "The token is not known." };
      response.writeHead(401).end(JSON.stringify(problem));
      return;
    }
    const call: Request = JSON.parse(body);
    const reply = { jsonrpc: "2.0", id: call.id, ...respond(call) };
    response.end(JSON.stringify(reply));
  });
  try {
    return await callUrl(server.url, secret);
  } finally {
    await server.close();
  }
}

async function callUrl(
  url: string,
  secret: string,
): Promise<Result<unknown, Fault>> {
  const connectTimeoutMs = TIMEOUT_MS;
  const httpClient = createHttpClient({
    connectionsPerOrigin: 2,
    connectTimeoutMs,
  });
  const peers = createPeerClient(httpClient, { secret });
  try {
    const params = { taskId: "t/0" };
    return await peers.call(url, "move", params, TIMEOUT_MS, NEVER_ABORTED);
  } finally {
    await httpClient.close();
  }
}
