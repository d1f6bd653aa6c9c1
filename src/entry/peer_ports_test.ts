import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server } from "node:net";
import { describe, it } from "node:test";
import { setImmediate as nextEventLoopTurn } from "node:timers/promises";
import { peerPorts, reportAddress } from "./peer_ports.ts";

const WAITING_CONNECTIONS = 40;
/** How long an iteration of the event loop of a busy instance takes, in ms. */
const BUSY_MS = 2;

async function listen(): Promise<{ server: Server; port: number }> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  return { server, port: (server.address() as AddressInfo).port };
}

describe("the address that relays report to", () => {
  it("is served, and differs from that of other calls if there are two", () => {
    const listen = { internalHost: "10.1.0.30", peerPort: 7380 };
    const two = { ...listen, peerPortCount: 2 };
    assert.deepEqual(peerPorts(two), [7380, 7381]);
    assert.equal(reportAddress(two), "10.1.0.30:7381");
    const one = { ...listen, peerPortCount: 1 };
    assert.equal(reportAddress(one), "10.1.0.30:7380");
  });

  // Guards against SHORT: the first reports to a new owner waited for seconds
  // behind the new connections of all instances, so that it dropped its relays.
  it("accepts connections although many wait on another port", async () => {
    const [calls, reports] = [await listen(), await listen()];
    const waiting = Array.from(
      { length: WAITING_CONNECTIONS },
      () => connect(calls.port, "127.0.0.1"),
    );
    const report = connect(reports.port, "127.0.0.1");
    const clients = [...waiting, report];
    let accepted = 0;
    let isReportAccepted = false;
    calls.server.on("connection", (socket) => {
      accepted += 1;
      socket.unref();
    });
    reports.server.on("connection", (socket) => {
      isReportAccepted = true;
      socket.unref();
    });
    while (!isReportAccepted) {
      const busyUntilMs = performance.now() + BUSY_MS;
      while (performance.now() < busyUntilMs);
      await nextEventLoopTurn();
    }
    assert.ok(accepted < WAITING_CONNECTIONS / 2, `${accepted} before it`);
    for (const client of clients) client.destroy();
    calls.server.close();
    reports.server.close();
  });
});
