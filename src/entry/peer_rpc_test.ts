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

/** Sends a call with a header, and returns its status and what it reached. */
async function send(
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
  let answer: HttpResponse | undefined;
  try {
    answer = await route({
      method: "POST",
      path: ["rpc"],
      query: new URLSearchParams(),
      headers: authorization === undefined ? {} : { authorization },
      body: () => Promise.resolve(body),
    });
  } catch (error) {
    assert.ok(error instanceof RefusedCall);
    answer = error.response;
  }
  return { status: answer?.status ?? 0, answered, body: answer?.body };
}

describe("the interface for peers", () => {
  it("answers who knows the secret, and nobody else", async () => {
    const good = await send(SECRET, `Bearer ${SECRET}`);
    assert.deepEqual([good.status, good.answered], [200, 1]);
    for (const header of [undefined, "Bearer wrong", `Basic ${SECRET}`]) {
      const refused = await send(SECRET, header);
      assert.deepEqual([refused.status, refused.answered], [401, 0]);
    }
  });

  it("answers everybody where no secret is set", async () => {
    const { status, answered } = await send("", undefined);
    assert.deepEqual([status, answered], [200, 1]);
  });

  it("checks calls against their schema", async () => {
    const calls: unknown[] = [
      null,
      { lamport: 1 },
      { lamport: 1, call: { kind: "move" } },
      { lamport: "1", call: { kind: "owners" } },
      { lamport: 1, call: { kind: "cancel", partition: "x", job: 1 } },
    ];
    for (const params of calls) {
      const sent = await send("", undefined, { ...CALL, params });
      assert.equal(sent.answered, 0);
      const { error } = sent.body as { error?: { code: number } };
      assert.equal(error?.code, -32_602);
    }
  });
});
