import assert from "node:assert/strict";
import { it } from "node:test";
import { firstFence, nextFence } from "./fence.ts";

it("a fence rises with the epoch, the link and the incarnation", () => {
  const fence = firstFence(3, 1_500.7);
  assert.ok(nextFence(fence) > fence);
  assert.ok(firstFence(3, 1_502) > nextFence(fence));
  assert.ok(firstFence(4, 0) > nextFence(firstFence(3, Infinity)));
});

// Guards against an owner that its own workers refuse: a relay raises the epoch of
// an owner of an earlier version to that of its successor.
it("the plain epoch of an earlier version does not rise", () => {
  assert.equal(nextFence(7), 7);
});
