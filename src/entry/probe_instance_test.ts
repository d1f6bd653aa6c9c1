/**
 * Guards against evicting an owner for being busy: while its queue of
 * connections to accept was full, probes were not answered, although it
 * answered calls on open connections.
 */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { it } from "node:test";
import { createPeerContact } from "./peer_contact.ts";
import { isAlive, probeInstance } from "./probe_instance.ts";

const HOST = "127.0.0.1";
/** Connections that certainly fill the queue of the busy process. */
const QUEUED_CONNECTIONS = 8;
/** A process that listens, prints its port and accepts no connection. */
const BUSY_PROCESS = `
  const server = require("node:net").createServer();
  server.listen({ port: 0, host: "${HOST}", backlog: 1 }, () => {
    require("node:fs").writeSync(1, String(server.address().port));
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 60_000);
  });
`;

it("owner probe: a busy owner that answers on open connections is alive", async () => {
  const child = spawn(process.execPath, ["-e", BUSY_PROCESS]);
  const [output] = await once(child.stdout, "data");
  const port = Number(String(output));
  const address = `${HOST}:${port}`;
  const queued = fillQueue(port);
  const contact = createPeerContact({ steadyMs: () => 0 });
  const isOwnerAlive = async () =>
    isAlive(await probeInstance(address), contact.silentMs(address));
  try {
    // The queue of connections to accept is full.
    while (await isOwnerAlive()) { /* Try again. */ }
    contact.record(address);
    assert.equal(await isOwnerAlive(), true);
    await end(child);
    assert.equal(await isOwnerAlive(), false);
  } finally {
    for (const socket of queued) socket.destroy();
    await end(child);
  }
});

it("owner probe: contact before the first of two silent probes is no sign of life", () => {
  assert.equal(isAlive("silent", 100), true);
  assert.equal(isAlive("silent", 220), false);
  assert.equal(isAlive("silent", Infinity), false);
  assert.equal(isAlive("refused", 0), false);
});

function fillQueue(port: number): Socket[] {
  return Array.from({ length: QUEUED_CONNECTIONS }, () => {
    const socket = connect({ host: HOST, port });
    socket.on("error", () => {});
    return socket;
  });
}

async function end(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  child.kill("SIGKILL");
  await once(child, "exit");
}

// Guards against a loop of probes that ends at the first odd address.
it("owner probe: a text that is no address is nobody's", async () => {
  for (const text of ["", "10.0.0.1", "10.0.0.1:73800", "10.0.0.1:-1"]) {
    assert.equal(await probeInstance(text), "refused");
  }
});
