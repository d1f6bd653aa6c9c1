/**
 * Guards against limits that ordinary clients meet, and against limits that
 * take the descriptors of connections to peers, the store and workers.
 */
import assert from "node:assert/strict";
import { it } from "node:test";
import { deriveClientLimits, isBodyTooSlow } from "./client_limits.ts";

const PACE = {
  headTimeoutMs: 15_000,
  bodyGraceMs: 15_000,
  bodyBytesPerS: 4_096,
  unreadAnswerMs: 30_000,
};
const SMALLEST = { memoryMb: 160, descriptors: 2_212, peerPorts: 2 };

it("client limits: a quarter of the sockets is left for other connections", () => {
  for (const peerPorts of [1, 2, 16]) {
    const machine = { ...SMALLEST, peerPorts };
    const { connections } = deriveClientLimits(machine, PACE);
    const { callers, peers, api, readiness, metrics } = connections;
    const accepted = callers + peers * peerPorts + api + readiness + metrics;
    assert.ok(accepted <= 0.76 * 2_012, `${accepted} of 2012 sockets`);
  }
});

it("client limits: bodies and reads take less than half of the memory", () => {
  const { connections, bodyBytes } = deriveClientLimits(SMALLEST, PACE);
  const readBytes = connections.callers * 65_536;
  assert.ok(readBytes + bodyBytes.totalBytes < 160 * 1_048_576 / 2);
});

it("client limits: a body may rest for 15 s, and then has to arrive", () => {
  assert.equal(isBodyTooSlow(PACE, 0, 15_000), false);
  assert.equal(isBodyTooSlow(PACE, 0, 15_001), true);
  assert.equal(isBodyTooSlow(PACE, 262_143, 78_900), false);
  assert.equal(isBodyTooSlow(PACE, 262_143, 79_100), true);
});
