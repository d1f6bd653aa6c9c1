import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type HttpResponse, RefusedCall } from "../server/mod.ts";
import { createTimeLine } from "../time_line/mod.ts";
import { createPeerRpcRoute } from "./peer_rpc.ts";

const SECRET = "secret-of-the-cluster";
const CALL = {
  jsonrpc: "2.0",
  id: 1,
  method: "call",
  params: { lamport: 7, call: { kind: "owners" } },
};

/** Calls the route; returns the status, the body and the number of calls answered. */
async function callRoute(
  secret: string,
  authorization: string | undefined,
  body: unknown = CALL,
): Promise<{ status: number; answered: number; body: unknown }> {
  let answered = 0;
  const timeLine = createTimeLine({
    process: "kigali-1",
    incarnation: "i4",
    capacity: 10,
  });
  const route = createPeerRpcRoute(timeLine, secret, () => {
    answered += 1;
    return Promise.resolve({});
  });
  let response: HttpResponse | undefined;
  try {
    response = await route({
      method: "POST",
      path: ["rpc"],
      query: new URLSearchParams(),
      headers: authorization === undefined ? {} : { authorization },
      body: () => Promise.resolve(body),
    });
  } catch (error) {
    assert.ok(error instanceof RefusedCall);
    response = error.response;
  }
  return { status: response?.status ?? 0, answered, body: response?.body };
}

describe("the route for peer calls", () => {
  it("answers only calls that carry the secret", async () => {
    const good = await callRoute(SECRET, `Bearer ${SECRET}`);
    assert.deepEqual([good.status, good.answered], [200, 1]);
    for (const header of [undefined, "Bearer wrong", `Basic ${SECRET}`]) {
      const refused = await callRoute(SECRET, header);
      assert.deepEqual([refused.status, refused.answered], [401, 0]);
    }
  });

  it("answers every call if no secret is configured", async () => {
    const { status, answered } = await callRoute("", undefined);
    assert.deepEqual([status, answered], [200, 1]);
  });

  it("rejects calls that do not match their schema", async () => {
    const calls: unknown[] = [
      null,
      { lamport: 1 },
      { lamport: 1, call: { kind: "move" } },
      { lamport: "1", call: { kind: "owners" } },
      { lamport: 1, call: { kind: "cancel", partition: "x", job: 1 } },
    ];
    for (const params of calls) {
      const sent = await callRoute("", undefined, { ...CALL, params });
      assert.equal(sent.answered, 0);
      const { error } = sent.body as { error?: { code: number } };
      assert.equal(error?.code, -32_602);
    }
  });
});
