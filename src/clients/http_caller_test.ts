import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { Result } from "neverthrow";
import {
  createScriptedServer,
  type Script,
  type ScriptedServer,
} from "../../stand_ins/scripted/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { createHttpCaller, type HttpCaller, type HttpRequest } from "./mod.ts";

const FOREVER_MS = 600_000;
const SILENCE_MS = 100;
const PATIENCE_MS = 5_000;
const NEVER = new AbortController().signal;

type Trial = {
  caller: HttpCaller;
  server: ScriptedServer;
  call(
    changes?: Partial<HttpRequest>,
    signal?: AbortSignal,
  ): Promise<Result<unknown, Fault>>;
};

test("http caller: a refused connection leaves the call unsent", async () => {
  await withServer(answer("{}"), async ({ server, call }) => {
    await server.close();
    assert.equal(kindOf(await call()), "unsent");
  });
});

test("http caller: an invalid URL or a closed caller sends nothing", async () => {
  await withServer(answer("{}"), async ({ caller, server, call }) => {
    assert.equal(kindOf(await call({ url: "nowhere" })), "unsent");
    await caller.close();
    assert.equal(kindOf(await call()), "unsent");
    assert.equal(server.requestCount(), 0);
  });
});

test("http caller: a lost answer leaves the effect unknown", async () => {
  const lose: Script = (request) => request.socket.destroy();
  await withServer(lose, async ({ server, call }) => {
    const fault = (await call())._unsafeUnwrapErr();
    assert.equal(fault.kind, "unknown");
    assert.equal(fault.code, diagnostics.connectionLost.code);
    assert.equal(fault.step, "test.call");
    assert.equal(fault.peer, "server");
    assert.equal(server.requestCount(), 1);
  });
});

test("http caller: a truncated answer leaves the effect unknown", async () => {
  const truncate: Script = (request, response) => {
    response.writeHead(200, { "content-length": 100 });
    response.write('{"half":', () => request.socket.destroy());
  };
  await withServer(truncate, async ({ call }) => {
    assert.equal(kindOf(await call()), "unknown");
  });
});

test("http caller: an oversized answer is not read", async () => {
  const long = JSON.stringify("x".repeat(5_000));
  await withServer(answer(long), async ({ call }) => {
    const fault = (await call())._unsafeUnwrapErr();
    assert.equal(fault.kind, "unknown");
    assert.equal(fault.code, diagnostics.answerInvalid.code);
  });
});

test("http caller: a malformed answer leaves the effect unknown", async () => {
  await withServer(answer("{half"), async ({ call }) => {
    const fault = (await call())._unsafeUnwrapErr();
    assert.equal(fault.kind, "unknown");
    assert.equal(fault.code, diagnostics.answerInvalid.code);
  });
});

test("http caller: only a numbered reason is a refusal", async () => {
  const reason = JSON.stringify({ code: 2006, message: "full", data: [1] });
  const problem = JSON.stringify({ code: 3013, title: "The queue is full." });
  const kinds: [number, string, Fault["kind"]][] = [
    [409, reason, "refused"],
    [507, reason, "refused"],
    [503, problem, "refused"],
    [500, reason, "unknown"],
    [502, "<html>", "unknown"],
    [404, "", "unknown"],
    [409, '{"message":"no"}', "unknown"],
  ];
  for (const [status, body, kind] of kinds) {
    await withServer(answer(body, status), async ({ call }) => {
      const fault = (await call())._unsafeUnwrapErr();
      assert.equal(fault.kind, kind, `status ${status}`);
      if (body === reason && kind === "refused") {
        assert.deepEqual(fault.data, [1]);
      }
    });
  }
});

test("http caller: a timeout after sending leaves it unknown", async () => {
  const silence = createSilence();
  silence.holding = false;
  await withServer(silence.script, async ({ call }) => {
    assert.equal(kindOf(await call()), "ok");
    silence.silenceOpenConnections();
    const fault = (await call({ timeoutMs: 20 }))._unsafeUnwrapErr();
    assert.equal(fault.kind, "unknown");
    assert.equal(fault.code, diagnostics.callTimedOut.code);
  });
});

test("http caller: a call that waits for a connection is unsent", async () => {
  await withServer(() => {}, async ({ server, call }) => {
    const controller = new AbortController();
    const first = call({}, controller.signal);
    await until(() => server.requestCount() === 1);
    assert.equal(kindOf(await call({ timeoutMs: 20 })), "unsent");
    controller.abort();
    assert.equal(kindOf(await first), "unknown");
    assert.equal(server.requestCount(), 1);
  });
});

test("http caller: an aborted call tells whether it was sent", async () => {
  await withServer(() => {}, async ({ server, call }) => {
    assert.equal(kindOf(await call({}, AbortSignal.abort())), "unsent");
    const controller = new AbortController();
    const sent = call({}, controller.signal);
    await until(() => server.requestCount() === 1);
    const queued = call({}, controller.signal);
    controller.abort();
    assert.equal(kindOf(await sent), "unknown");
    assert.equal(kindOf(await queued), "unsent");
  });
});

test("http caller: no silent connection is used after a timeout", async () => {
  const silence = createSilence();
  const connections = 3;
  await withServer(silence.script, async ({ call }) => {
    const opening = Array.from({ length: connections }, () => call());
    await until(() => silence.held.length === connections);
    for (const response of silence.held.splice(0)) response.end("{}");
    await Promise.all(opening);
    silence.holding = false;
    silence.silenceOpenConnections();
    const kinds = [];
    for (let index = 0; index < 2 * connections; index += 1) {
      const timeoutMs = index === 0 ? SILENCE_MS : PATIENCE_MS;
      kinds.push(kindOf(await call({ timeoutMs })));
    }
    assert.deepEqual(kinds, ["unknown", "ok", "ok", "ok", "ok", "ok"]);
  }, connections);
});

test("http caller: a queued call leaves silent connections", async () => {
  const silence = createSilence();
  silence.holding = false;
  await withServer(silence.script, async ({ call }) => {
    assert.equal(kindOf(await call()), "ok");
    silence.silenceOpenConnections();
    const first = call({ timeoutMs: SILENCE_MS });
    const queued = call({ timeoutMs: PATIENCE_MS });
    assert.equal(kindOf(await first), "unknown");
    assert.equal(kindOf(await queued), "ok");
  });
});

test("http caller: a repeatable call leaves silent connections", async () => {
  const silence = createSilence();
  await withServer(silence.script, async ({ call }) => {
    const opening = [call(), call()];
    await until(() => silence.held.length === 2);
    for (const response of silence.held.splice(0)) response.end("{}");
    await Promise.all(opening);
    silence.holding = false;
    silence.silenceOpenConnections();
    const poll = call({ timeoutMs: PATIENCE_MS, repeatable: true });
    const command = call({ timeoutMs: SILENCE_MS });
    assert.equal(kindOf(await command), "unknown");
    assert.equal(kindOf(await poll), "ok");
  }, 2);
});

function answer(body: string, status = 200): Script {
  return (_request, response) => response.writeHead(status).end(body);
}

/** A script that can hold answers and ignore the connections open now. */
function createSilence() {
  const open = new Set<Socket>();
  const silent = new Set<Socket>();
  const silence = {
    holding: true,
    held: [] as ServerResponse[],
    silenceOpenConnections() {
      for (const socket of open) silent.add(socket);
    },
    script: ((request, response) => {
      open.add(request.socket);
      if (silent.has(request.socket)) return;
      if (silence.holding) silence.held.push(response);
      else response.end("{}");
    }) as Script,
  };
  return silence;
}

async function withServer(
  script: Script,
  body: (trial: Trial) => Promise<void>,
  connectionsPerOrigin = 1,
): Promise<void> {
  const server = await createScriptedServer(script);
  const caller = createHttpCaller({
    connectionsPerOrigin,
    connectTimeoutMs: 1_000,
  });
  const request: HttpRequest = {
    step: "test.call",
    peer: "server",
    method: "POST",
    url: server.url,
    path: "/call",
    body: {},
    timeoutMs: FOREVER_MS,
    maxAnswerBytes: 1_000,
    repeatable: false,
  };
  try {
    await body({
      caller,
      server,
      call: (changes, signal) =>
        caller.call({ ...request, ...changes }, signal ?? NEVER),
    });
  } finally {
    await caller.close();
    await server.close();
  }
}

function kindOf(result: Result<unknown, Fault>): "ok" | Fault["kind"] {
  return result.match(() => "ok" as const, (fault) => fault.kind);
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
