/**
 * Guards against further load on an owner that is behind: it handled calls
 * whose callers had given up and called again.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, type Socket } from "node:net";
import { it } from "node:test";
import { createHttpServer } from "./http_server.ts";
import { createTestGuard } from "./testing/test_guard.ts";

const HOST = "127.0.0.1";
const LONG_WORK_MS = 50;

it("http server: a call whose caller has left is not handled", async () => {
  const handled: string[] = [];
  const server = createHttpServer(
    [async (call) => {
      await call.body();
      const [name = ""] = call.path;
      if (name === "open") return { status: 200 };
      handled.push(name);
      const endMs = performance.now() + LONG_WORK_MS;
      while (performance.now() < endMs) { /* Busy wait. */ }
      return { status: 200 };
    }],
    { maxBytes: 1_000, timeoutMs: 5_000, maxConnections: 10, name: "api" },
    createTestGuard(),
  );
  server.listen(0, HOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const [first, left, last] = await Promise.all([
    open(port),
    open(port),
    open(port),
  ]);
  try {
    first.write(post("first"));
    left.write(post("left"));
    left.destroy();
    last.write(post("last"));
    await Promise.all([once(first, "data"), once(last, "data")]);
    assert.deepEqual(handled, ["first", "last"]);
  } finally {
    first.destroy();
    last.destroy();
    server.close();
  }
});

/** Opens a connection that the server has accepted. */
async function open(port: number): Promise<Socket> {
  const socket = connect({ host: HOST, port });
  socket.write(post("open"));
  await once(socket, "data");
  return socket;
}

function post(path: string): string {
  return `POST /${path} HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}`;
}
