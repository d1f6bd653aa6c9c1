import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { StartPermit } from "../domain/mod.ts";
import { createIncarnations } from "./incarnations.ts";
import { MIN_CLOCK_RATE } from "./lease_time.ts";
import { createSimulatedClock } from "./testing/simulated_clock.ts";

const MAX_LEASE_MS = 10_000;
const LONGEST_MS = MAX_LEASE_MS / MIN_CLOCK_RATE;

/** The incarnations known to an owner that takes over after 100 s. */
async function takeOver(permitBornMs?: number) {
  const clock = createSimulatedClock();
  await clock.advance(100_000);
  const permit = { bornMs: permitBornMs ?? 0, revision: 0, phase: "granted" };
  const incarnations = createIncarnations({
    clock,
    maxLeaseMs: MAX_LEASE_MS,
    hasEarlierOwners: true,
    startPermits: new Map(
      permitBornMs === undefined ? [] : [["w", permit as StartPermit]],
    ),
  });
  return { clock, incarnations };
}

// Guards against TWICE: after a takeover, a worker that has restarted under the
// earlier owner is given up while it keeps runs under a lease for its former
// incarnation.
describe("a worker may hold a lease for a former incarnation", () => {
  it("if it had restarted shortly before a takeover", async () => {
    const { clock, incarnations } = await takeOver(95_000);
    const expiryMs = incarnations.earlierLeasesExpireAtMs("w");
    assert.ok(expiryMs - clock.steadyMs() >= LONGEST_MS);
  });

  it("if the earlier owner had no permit for it", async () => {
    const { clock, incarnations } = await takeOver();
    const expiryMs = incarnations.earlierLeasesExpireAtMs("w");
    assert.ok(expiryMs - clock.steadyMs() >= LONGEST_MS);
  });

  it("if it reports another incarnation than before", async () => {
    const { clock, incarnations } = await takeOver(1_000);
    incarnations.record("w", 99_000);
    await clock.advance(500);
    incarnations.record("w", 99_000);
    const expiryMs = incarnations.earlierLeasesExpireAtMs("w");
    assert.ok(expiryMs - clock.steadyMs() >= LONGEST_MS - 500);
    assert.ok(expiryMs - clock.steadyMs() < LONGEST_MS);
  });
});

describe("a worker holds leases of owners only", () => {
  it("if it had run for long before a takeover", async () => {
    const { incarnations } = await takeOver(1_000);
    assert.equal(incarnations.knownBornMs("w"), 1_000);
    incarnations.record("w", 1_000);
    assert.equal(incarnations.earlierLeasesExpireAtMs("w"), 0);
  });

  it("if nobody has called it before", () => {
    const incarnations = createIncarnations({
      clock: createSimulatedClock(),
      maxLeaseMs: MAX_LEASE_MS,
      hasEarlierOwners: false,
      startPermits: new Map(),
    });
    assert.equal(incarnations.knownBornMs("w"), undefined);
    incarnations.record("w", 7);
    assert.equal(incarnations.earlierLeasesExpireAtMs("w"), 0);
  });
});
