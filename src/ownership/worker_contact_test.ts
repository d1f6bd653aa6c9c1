import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { StartPermit } from "../domain/mod.ts";
import { createWorkerContact } from "./worker_contact.ts";

function createFixture() {
  const time = { steadyMs: 1_000, wallMs: 90_000 };
  const contact = createWorkerContact({
    steadyMs: () => time.steadyMs,
    nowMs: () => time.wallMs,
    sleep: () => Promise.resolve(),
  });
  const advance = (durationMs: number) => {
    time.steadyMs += durationMs;
    time.wallMs += durationMs;
  };
  return { time, contact, advance };
}

function permits(
  ...phases: StartPermit["phase"][]
): Map<string, StartPermit> {
  return new Map(
    phases.map((phase, index) => [`w${index}`, {
      bornMs: 1,
      revision: 1,
      phase,
    }]),
  );
}

const THREE = permits("granted", "granted", "granted");

describe("the age of the answers of most workers", () => {
  it("is that of the oldest answer in the youngest majority", () => {
    const { time, contact, advance } = createFixture();
    contact.record("w0", 1, time.steadyMs);
    advance(500);
    contact.record("w1", 1, time.steadyMs);
    advance(200);
    contact.record("w2", 1, time.steadyMs);
    advance(50);
    assert.equal(contact.majorityAgeMs(THREE), 250);
  });

  it("is infinite if half of the workers have answered", () => {
    const { time, contact } = createFixture();
    contact.record("w0", 1, time.steadyMs);
    const two = permits("granted", "granted");
    assert.equal(contact.majorityAgeMs(two), Infinity);
  });

  it("leaves out workers that have restarted or whose permit changes", () => {
    const { time, contact } = createFixture();
    contact.record("w0", 1, time.steadyMs);
    contact.record("w1", 2, time.steadyMs);
    assert.equal(contact.majorityAgeMs(THREE), Infinity);
    contact.record("w1", 1, time.steadyMs);
    const changing = permits("granted", "granting", "revoking");
    assert.equal(contact.majorityAgeMs(changing), Infinity);
  });

  it("leaves out answers from before a suspension", () => {
    const { time, contact, advance } = createFixture();
    for (const worker of THREE.keys()) contact.record(worker, 1, time.steadyMs);
    const polledAtMs = time.steadyMs;
    // The steady clock stops during a suspension.
    time.wallMs += 20_000;
    assert.equal(contact.majorityAgeMs(THREE), Infinity);
    advance(10);
    for (const worker of THREE.keys()) contact.record(worker, 1, polledAtMs);
    assert.equal(contact.majorityAgeMs(THREE), Infinity);
    for (const worker of THREE.keys()) contact.record(worker, 1, time.steadyMs);
    assert.equal(contact.majorityAgeMs(THREE), 0);
  });

  // Guards against leases that an owner grants although its successor has taken
  // over, since each of its suspensions is too short to be noticed by itself.
  it("leaves out answers from before several short suspensions", () => {
    const { time, contact, advance } = createFixture();
    for (const worker of THREE.keys()) contact.record(worker, 1, time.steadyMs);
    for (let count = 0; count < 10; count += 1) {
      advance(10);
      time.wallMs += 150;
      contact.majorityAgeMs(THREE);
    }
    assert.equal(contact.majorityAgeMs(THREE), Infinity);
  });

  it("keeps the latest answer if an earlier one arrives after it", () => {
    const { time, contact } = createFixture();
    const sentAtMs = time.steadyMs;
    for (const worker of THREE.keys()) contact.record(worker, 1, sentAtMs);
    for (const worker of THREE.keys()) {
      contact.record(worker, 1, sentAtMs - 900);
    }
    assert.equal(contact.majorityAgeMs(THREE), 0);
  });
});
