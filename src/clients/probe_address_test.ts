import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { describe, it } from "node:test";
import { probeAddress } from "./probe_address.ts";

const HOST = "127.0.0.1";
const TIMEOUT_MS = 60_000;

describe("probeAddress", () => {
  it("finds a process only while it listens, even if it never responds", async () => {
    const server = createServer();
    server.listen(0, HOST);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    assert.equal(await probeAddress(HOST, port, TIMEOUT_MS), "listening");
    server.close();
    await once(server, "close");
    assert.equal(await probeAddress(HOST, port, TIMEOUT_MS), "refused");
  });
});
