import assert from "node:assert/strict";
import { test } from "node:test";
import { memberTtlMs } from "./member_ttl.ts";

// Guards against a deployment without owners: a store that accepts no membership
// as short as the one that is set would refuse each join.
test("the membership of an owner lasts as long as the store asks for", () => {
  const of = (ttlMs: number, minMs: number) =>
    memberTtlMs({ memberTtlMs: ttlMs, memberTtlMinMs: minMs });
  assert.equal(of(1_300, 0), 1_300);
  assert.equal(of(1_300, 1_000), 1_300);
  assert.equal(of(1_300, 2_000), 2_000);
  assert.equal(of(1_300, 2_000.5), 2_001);
});
