import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { currentInstant } from "../instant.ts";
import { createOwnerTime } from "./owner_time.ts";
import { createPermission } from "./permission.ts";

/** Two clocks that a test sets; a suspension stops the steady one. */
function createClocks() {
  const time = { steadyMs: 1_000, wallMs: 50_000 };
  const clock = {
    nowMs: () => time.wallMs,
    steadyMs: () => time.steadyMs,
    sleep: () => Promise.resolve(),
  };
  return { time, clock };
}

describe("the permission of a relay", () => {
  it("runs out though the machine was suspended meanwhile", () => {
    const { time, clock } = createClocks();
    const permission = createPermission(clock);
    permission.extend(currentInstant(clock), 1_500);
    assert.ok(permission.holds());
    time.wallMs += 2_000;
    assert.ok(!permission.holds());
  });

  it("counts from the call, however late its answer is", () => {
    const { time, clock } = createClocks();
    const permission = createPermission(clock);
    const sentAt = currentInstant(clock);
    time.steadyMs += 1_400;
    time.wallMs += 1_400;
    permission.extend(sentAt, 1_500);
    assert.ok(permission.holds());
    time.steadyMs += 101;
    assert.ok(!permission.holds());
  });

  it("is not shortened by an older answer", () => {
    const { time, clock } = createClocks();
    const permission = createPermission(clock);
    const earlier = currentInstant(clock);
    time.steadyMs += 500;
    permission.extend(currentInstant(clock), 1_500);
    permission.extend(earlier, 1_500);
    time.steadyMs += 1_400;
    assert.ok(permission.holds());
  });
});

describe("the owner's time as a relay knows it", () => {
  it("is never after the owner's present time", () => {
    const { time, clock } = createClocks();
    const ownerTime = createOwnerTime(clock);
    ownerTime.note(7_000);
    time.steadyMs += 1_000;
    assert.ok(ownerTime.nowMs() <= 8_000);
    // A suspension leaves the steady clock behind, which errs the safe way.
    time.wallMs += 60_000;
    assert.ok(ownerTime.nowMs() <= 8_000);
    ownerTime.note(6_000);
    assert.ok(ownerTime.nowMs() > 7_000);
  });
});
