import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { currentInstant } from "../instant.ts";
import { createOwnerClockEstimate } from "./owner_clock_estimate.ts";
import { createRelayGrant } from "./relay_grant.ts";

/** A clock that the test sets; suspension stops only the steady reading. */
function createFakeClock() {
  const time = { steadyMs: 1_000, wallMs: 50_000 };
  const clock = {
    nowMs: () => time.wallMs,
    steadyMs: () => time.steadyMs,
    sleep: () => Promise.resolve(),
  };
  return { time, clock };
}

describe("the grant of a relay", () => {
  it("expires while the machine is suspended", () => {
    const { time, clock } = createFakeClock();
    const grant = createRelayGrant(clock);
    grant.extend(currentInstant(clock), 1_500);
    assert.ok(grant.isValid());
    time.wallMs += 2_000;
    assert.ok(!grant.isValid());
  });

  it("is measured from the call, however late the answer arrives", () => {
    const { time, clock } = createFakeClock();
    const grant = createRelayGrant(clock);
    const sentAt = currentInstant(clock);
    time.steadyMs += 1_400;
    time.wallMs += 1_400;
    grant.extend(sentAt, 1_500);
    assert.ok(grant.isValid());
    time.steadyMs += 101;
    assert.ok(!grant.isValid());
  });

  it("is not shortened by an older answer", () => {
    const { time, clock } = createFakeClock();
    const grant = createRelayGrant(clock);
    const earlier = currentInstant(clock);
    time.steadyMs += 500;
    grant.extend(currentInstant(clock), 1_500);
    grant.extend(earlier, 1_500);
    time.steadyMs += 1_400;
    assert.ok(grant.isValid());
  });
});

describe("the owner clock estimate", () => {
  it("is never ahead of the owner's clock", () => {
    const { time, clock } = createFakeClock();
    const ownerClock = createOwnerClockEstimate(clock);
    ownerClock.addSample(7_000);
    time.steadyMs += 1_000;
    assert.ok(ownerClock.lowerBoundMs() <= 8_000);
    // Suspension makes the steady clock lag, which is the safe direction.
    time.wallMs += 60_000;
    assert.ok(ownerClock.lowerBoundMs() <= 8_000);
    ownerClock.addSample(6_000);
    assert.ok(ownerClock.lowerBoundMs() > 7_000);
  });
});
