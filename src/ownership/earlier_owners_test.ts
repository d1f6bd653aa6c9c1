import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { silentLogger } from "../entry/testing/manual_clock.ts";
import { awaitEarlierOwners } from "./earlier_owners.ts";
import type { OwnerState } from "./owner_state.ts";
import { createSimulatedClock } from "./testing/simulated_clock.ts";

/** The longest time that accepted work may wait with room free, in ms. */
const MAX_WAIT_MS = 14_000;
const OWNERSHIP_VALID_MS = 14_000;
const PERMITS = 33;

/**
 * Lets an owner wait for an earlier one, and returns when all leases of the
 * earlier one have expired.
 *
 * @param unsettled number of workers with a permit that don't answer
 * @param unwitnessedGrantMs as the earlier owner has recorded it
 */
async function expiryAfter(
  unsettled: number,
  unwitnessedGrantMs: number | undefined,
  hasStoppedGranting: () => Promise<boolean>,
): Promise<number> {
  const clock = createSimulatedClock();
  const controller = new AbortController();
  const state = {
    host: {
      clock,
      logger: silentLogger,
      partition: { topic: "domains", number: 0 },
      leaseMs: 5_500,
      ownershipValidMs: OWNERSHIP_VALID_MS,
      hasStoppedGranting,
      signal: controller.signal,
    },
    domain: {
      unsettledWorkers: new Set(
        Array.from({ length: unsettled }, (_, index) => `w${index}`),
      ),
    },
    restoredPermits: PERMITS,
    events: { emit() {} },
    relayedLinks: { sendLeaseFloor() {} },
    earlierLeasesExpireAtMs: Infinity,
  } as unknown as OwnerState;
  const owner = { instance: "gone", epoch: 1 };
  const ended = awaitEarlierOwners(state, [
    unwitnessedGrantMs === undefined ? owner : { ...owner, unwitnessedGrantMs },
  ]);
  await clock.advance(30_000);
  await ended;
  controller.abort();
  return state.earlierLeasesExpireAtMs;
}

const noAnswer = () => Promise.resolve(false);

describe("the leases of an owner whose machine is gone", () => {
  // Guards against accepted work that waits for longer than it may with room
  // free, since its owner and a few workers were lost at the same moment (LOST).
  it("have expired in time once most workers answer the new owner", async () => {
    assert.ok(await expiryAfter(4, 3_000, noAnswer) < MAX_WAIT_MS);
  });

  it("may be renewed for longer if most workers do not answer", async () => {
    const expiry = await expiryAfter(20, 3_000, noAnswer);
    assert.ok(expiry > OWNERSHIP_VALID_MS);
  });

  it("may be renewed for longer if it does not need their answers", async () => {
    const expiry = await expiryAfter(4, undefined, noAnswer);
    assert.ok(expiry > OWNERSHIP_VALID_MS);
  });
});

it("an owner that has confirmed its end is not waited for", async () => {
  const expiry = await expiryAfter(20, 3_000, () => Promise.resolve(true));
  assert.ok(expiry < 8_000);
});
