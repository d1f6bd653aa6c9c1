import assert from "node:assert/strict";
import { test } from "node:test";
import type { Instance } from "../model/mod.ts";
import {
  advance,
  buildHeartbeat,
  createMembership,
  holderOf,
  membersOf,
  memberState,
  receiveHeartbeat,
} from "./mod.ts";

const OPTIONS = { deadAfterMs: 3_000, zoneBeatMs: 1_000, remoteBeatMs: 5_000 };
const IDLE = {
  leaving: false,
  version: 0,
  held: [],
  unreachable: [],
  load: {
    queued: 0,
    queuedByUrgency: [],
    free: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    running: 0,
    shapes: [],
  },
};

test("membership: a heartbeat makes a member live, silence makes it dead", () => {
  const a = createMembership(instance("a"), OPTIONS);
  const b = createMembership(instance("b"), OPTIONS);
  const holder = holderOf(b.self);
  assert.equal(memberState(a, holder), "unknown");
  receiveHeartbeat(a, buildHeartbeat(b, IDLE), 0);
  assert.equal(memberState(a, holder), "live");
  receiveHeartbeat(a, buildHeartbeat(b, { ...IDLE, leaving: true }), 10);
  assert.equal(memberState(a, holder), "leaving");
  assert.deepEqual(membersOf(a, "kigali"), [a.self]);
  a.nowMs = 3_010;
  assert.equal(memberState(a, holder), "dead");
});

test("membership: a paused process does not bar the peers it did not hear", () => {
  const paused = createMembership(instance("a"), OPTIONS);
  const peer = createMembership(instance("b"), OPTIONS);
  const holder = holderOf(peer.self);
  receiveHeartbeat(paused, buildHeartbeat(peer, IDLE), 0);
  advance(paused, 0);
  assert.deepEqual(advance(paused, 60_000).barred, []);
  assert.equal(memberState(paused, holder), "live");
  advance(paused, 60_000 + OPTIONS.deadAfterMs / 2);
  advance(paused, 60_000 + OPTIONS.deadAfterMs);
  assert.equal(memberState(paused, holder), "barred");
});

function instance(id: string): Instance {
  return {
    id,
    incarnation: "1",
    zone: "kigali",
    region: "rwanda",
    url: `http://127.0.0.1/${id}`,
  };
}
