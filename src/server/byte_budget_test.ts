/**
 * Guards against many bodies that stop short of their end: they took all
 * memory, or kept the bodies of other clients out.
 */
import assert from "node:assert/strict";
import { it } from "node:test";
import { type ByteHolder, createByteBudget } from "./byte_budget.ts";

const LIMITS = { totalBytes: 800, addressBytes: 400 };

/** A holder that notes its name when it is evicted. */
function holder(name: string, address: string, evicted: string[]): ByteHolder {
  return { address, evict: () => evicted.push(name) };
}

it("byte budget: the largest bodies of an address make room for others", () => {
  const evicted: string[] = [];
  const budget = createByteBudget(LIMITS);
  for (let index = 0; index < 4; index += 1) {
    budget.hold(holder(`large${index}`, "a", evicted), 95);
  }
  budget.hold(holder("small", "a", evicted), 30);
  assert.deepEqual(evicted, ["large0"]);
  assert.equal(budget.heldBytes(), 315);
});

it("byte budget: a full budget evicts from the address that takes most", () => {
  const evicted: string[] = [];
  const budget = createByteBudget(LIMITS);
  for (
    const [name, address, bytes] of [
      ["a1", "a", 300],
      ["a2", "a", 90],
      ["b1", "b", 350],
      ["c1", "c", 70],
    ] as const
  ) {
    budget.hold(holder(name, address, evicted), bytes);
  }
  assert.deepEqual(evicted, ["a1"]);
  assert.equal(budget.heldBytes(), 510);
});

it("byte budget: a holder that grows or leaves is counted once", () => {
  const budget = createByteBudget(LIMITS);
  const body = holder("body", "a", []);
  budget.hold(body, 100);
  budget.hold(body, 200);
  assert.equal(budget.heldBytes(), 200);
  budget.release(body);
  budget.release(body);
  assert.equal(budget.heldBytes(), 0);
});
