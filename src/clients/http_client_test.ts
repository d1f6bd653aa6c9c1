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
import { createHttpClient, type HttpClient, type HttpRequest } from "./mod.ts";

const NO_TIMEOUT_MS = 600_000;
const SHORT_TIMEOUT_MS = 100;
const LONG_TIMEOUT_MS = 5_000;
const NEVER_ABORTED = new AbortController().signal;

type TestContext = {
  client: HttpClient;
  server: ScriptedServer;
  call(
    changes?: Partial<HttpRequest>,
    signal?: AbortSignal,
  ): Promise<Result<unknown, Fault>>;
};

test("http client: a refused connection is reported as unsent", async () => {
  await withServer(respond("{}"), async ({ server, call }) => {
    await server.close();
    assert.equal(resultKind(await call()), "unsent");
  });
});

test("http client: nothing is sent for an invalid URL or after close", async () => {
  await withServer(respond("{}"), async ({ client, server, call }) => {
    assert.equal(resultKind(await call({ url: "nowhere" })), "unsent");
    await client.close();
    assert.equal(resultKind(await call()), "unsent");
    assert.equal(server.requestCount(), 0);
  });
});

test("http client: a connection lost before the response leaves the effect unknown", async () => {
  const disconnect: Script = (request) => request.socket.destroy();
  await withServer(disconnect, async ({ server, call }) => {
    const fault = (await call())._unsafeUnwrapErr();
    assert.equal(fault.kind, "unknown");
    assert.equal(fault.code, diagnostics.connectionLost.code);
    assert.equal(fault.step, "test.call");
    assert.equal(fault.peer, "server");
    assert.equal(server.requestCount(), 1);
  });
});

test("http client: a truncated response leaves the effect unknown", async () => {
  const truncate: Script = (request, response) => {
    response.writeHead(200, { "content-length": 100 });
    response.write('{"half":', () => request.socket.destroy());
  };
  await withServer(truncate, async ({ call }) => {
    assert.equal(resultKind(await call()), "unknown");
  });
});

test("http client: an oversized response is rejected", async () => {
  const long = JSON.stringify("x".repeat(5_000));
  await withServer(respond(long), async ({ call }) => {
    const fault = (await call())._unsafeUnwrapErr();
    assert.equal(fault.kind, "unknown");
    assert.equal(fault.code, diagnostics.answerInvalid.code);
  });
});

test("http client: a malformed response leaves the effect unknown", async () => {
  await withServer(respond("{half"), async ({ call }) => {
    const fault = (await call())._unsafeUnwrapErr();
    assert.equal(fault.kind, "unknown");
    assert.equal(fault.code, diagnostics.answerInvalid.code);
  });
});

test("http client: only an error with a diagnostic code is a refusal", async () => {
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
    await withServer(respond(body, status), async ({ call }) => {
      const fault = (await call())._unsafeUnwrapErr();
      assert.equal(fault.kind, kind, `status ${status}`);
      if (body === reason && kind === "refused") {
        assert.deepEqual(fault.data, [1]);
      }
    });
  }
});

test("http client: a timeout after sending leaves the effect unknown", async () => {
  const control = createConnectionControl();
  control.holdsResponses = false;
  await withServer(control.script, async ({ call }) => {
    assert.equal(resultKind(await call()), "ok");
    control.ignoreOpenConnections();
    const fault = (await call({ timeoutMs: 20 }))._unsafeUnwrapErr();
    assert.equal(fault.kind, "unknown");
    assert.equal(fault.code, diagnostics.callTimedOut.code);
  });
});

test("http client: a timeout while waiting for a connection is reported as unsent", async () => {
  await withServer(() => {}, async ({ server, call }) => {
    const controller = new AbortController();
    const first = call({}, controller.signal);
    await waitUntil(() => server.requestCount() === 1);
    assert.equal(resultKind(await call({ timeoutMs: 20 })), "unsent");
    controller.abort();
    assert.equal(resultKind(await first), "unknown");
    assert.equal(server.requestCount(), 1);
  });
});

test("http client: an aborted call reports whether it was sent", async () => {
  await withServer(() => {}, async ({ server, call }) => {
    assert.equal(resultKind(await call({}, AbortSignal.abort())), "unsent");
    const controller = new AbortController();
    const sent = call({}, controller.signal);
    await waitUntil(() => server.requestCount() === 1);
    const queued = call({}, controller.signal);
    controller.abort();
    assert.equal(resultKind(await sent), "unknown");
    assert.equal(resultKind(await queued), "unsent");
  });
});

test("http client: unresponsive connections are not reused after a timeout", async () => {
  const control = createConnectionControl();
  const connections = 3;
  await withServer(control.script, async ({ call }) => {
    const connecting = Array.from({ length: connections }, () => call());
    await waitUntil(() => control.heldResponses.length === connections);
    for (const response of control.heldResponses.splice(0)) response.end("{}");
    await Promise.all(connecting);
    control.holdsResponses = false;
    control.ignoreOpenConnections();
    const kinds = [];
    for (let index = 0; index < 2 * connections; index += 1) {
      const timeoutMs = index === 0 ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS;
      kinds.push(resultKind(await call({ timeoutMs })));
    }
    assert.deepEqual(kinds, ["unknown", "ok", "ok", "ok", "ok", "ok"]);
  }, connections);
});

test("http client: a queued call moves off unresponsive connections", async () => {
  const control = createConnectionControl();
  control.holdsResponses = false;
  await withServer(control.script, async ({ call }) => {
    assert.equal(resultKind(await call()), "ok");
    control.ignoreOpenConnections();
    const first = call({ timeoutMs: SHORT_TIMEOUT_MS });
    const queued = call({ timeoutMs: LONG_TIMEOUT_MS });
    assert.equal(resultKind(await first), "unknown");
    assert.equal(resultKind(await queued), "ok");
  });
});

test("http client: a repeatable call moves off unresponsive connections", async () => {
  const control = createConnectionControl();
  await withServer(control.script, async ({ call }) => {
    const connecting = [call(), call()];
    await waitUntil(() => control.heldResponses.length === 2);
    for (const response of control.heldResponses.splice(0)) response.end("{}");
    await Promise.all(connecting);
    control.holdsResponses = false;
    control.ignoreOpenConnections();
    const poll = call({ timeoutMs: LONG_TIMEOUT_MS, repeatable: true });
    const command = call({ timeoutMs: SHORT_TIMEOUT_MS });
    assert.equal(resultKind(await command), "unknown");
    assert.equal(resultKind(await poll), "ok");
  }, 2);
});

// Guards against TWICE: a poll that was in flight when its worker restarted was
// sent again to the next incarnation, with a lease for the former one.
test("http client: a call that expires with its pool is not sent again", async () => {
  const control = createConnectionControl();
  control.holdsResponses = false;
  let received = 0;
  const script: Script = (request, response, body) => {
    received += 1;
    return control.script(request, response, body);
  };
  await withServer(script, async ({ call }) => {
    assert.equal(resultKind(await call()), "ok");
    control.ignoreOpenConnections();
    const expiring = { timeoutMs: LONG_TIMEOUT_MS, expiresWithPool: true };
    const poll = call({ ...expiring, repeatable: true });
    const queued = call(expiring);
    const command = call({ timeoutMs: SHORT_TIMEOUT_MS });
    assert.equal(resultKind(await command), "unsent");
    assert.equal(resultKind(await poll), "unknown");
    assert.equal(resultKind(await queued), "unsent");
    assert.equal(received, 2);
  });
});

function respond(body: string, status = 200): Script {
  return (_request, response) => response.writeHead(status).end(body);
}

/** Creates a script that can hold responses and ignore open connections. */
function createConnectionControl() {
  const open = new Set<Socket>();
  const ignored = new Set<Socket>();
  const control = {
    holdsResponses: true,
    heldResponses: [] as ServerResponse[],
    ignoreOpenConnections() {
      for (const socket of open) ignored.add(socket);
    },
    script: ((request, response) => {
      open.add(request.socket);
      if (ignored.has(request.socket)) return;
      if (control.holdsResponses) control.heldResponses.push(response);
      else response.end("{}");
    }) as Script,
  };
  return control;
}

async function withServer(
  script: Script,
  body: (context: TestContext) => Promise<void>,
  connectionsPerOrigin = 1,
): Promise<void> {
  const server = await createScriptedServer(script);
  const client = createHttpClient({
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
    timeoutMs: NO_TIMEOUT_MS,
    maxResponseBytes: 1_000,
    repeatable: false,
  };
  try {
    await body({
      client,
      server,
      call: (changes, signal) =>
        client.call({ ...request, ...changes }, signal ?? NEVER_ABORTED),
    });
  } finally {
    await client.close();
    await server.close();
  }
}

function resultKind(result: Result<unknown, Fault>): "ok" | Fault["kind"] {
  return result.match(() => "ok" as const, (fault) => fault.kind);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
