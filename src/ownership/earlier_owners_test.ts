import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { silentLogger } from "../entry/testing/manual_clock.ts";
import { awaitEarlierOwners } from "./earlier_owners.ts";
import type { OwnerEntry } from "../domain/mod.ts";
import {
  CONFIRMED_LEASE_MS,
  UNWITNESSED_GRANT_MS,
  WITNESSED_LEASE_MS,
} from "./lease_time.ts";
import type { OwnerState } from "./owner_state.ts";
import { createSimulatedClock } from "./testing/simulated_clock.ts";

/** The longest time that accepted work may wait with room free, in ms. */
const MAX_WAIT_MS = 14_000;
/** The same for lasting tasks, in ms. */
const MAX_LASTING_WAIT_MS = 9_000;
/** Time to notice the loss of an owner and to take over its domain, in ms. */
const TAKEOVER_MS = 1_500;
const OWNERSHIP_VALID_MS = 14_000;
const PERMITS = 33;

/**
 * Lets an owner wait for an earlier one, and returns when all leases of the
 * earlier one have expired.
 *
 * @param unsettled number of workers with a permit that don't answer
 * @param limits as the earlier owner has recorded them
 */
async function expiryAfter(
  unsettled: number,
  limits: Partial<OwnerEntry>,
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
  const owner = { instance: "gone", epoch: 1, ...limits };
  const ended = awaitEarlierOwners(state, [owner]);
  await clock.advance(30_000);
  await ended;
  controller.abort();
  return state.earlierLeasesExpireAtMs;
}

const noAnswer = () => Promise.resolve(false);
/** The record of an owner that does not limit the ends of its leases. */
const WITHOUT_LIMITS = { unwitnessedGrantMs: UNWITNESSED_GRANT_MS };
/** The record of an owner of this version. */
const WITH_LIMITS = {
  ...WITHOUT_LIMITS,
  leaseLimits: {
    witnessedMs: WITNESSED_LEASE_MS,
    confirmedMs: CONFIRMED_LEASE_MS,
  },
};

describe("the leases of an owner whose machine is gone", () => {
  // Guards against accepted work that waits for longer than it may with room
  // free, since its owner and a few workers were lost at the same moment (LOST).
  it("have expired in time once most workers answer the new owner", async () => {
    assert.ok(await expiryAfter(4, WITHOUT_LIMITS, noAnswer) < MAX_WAIT_MS);
  });

  it("may be renewed for longer if most workers do not answer", async () => {
    const expiry = await expiryAfter(20, WITHOUT_LIMITS, noAnswer);
    assert.ok(expiry > OWNERSHIP_VALID_MS);
  });

  it("may be renewed for longer if it does not need their answers", async () => {
    const expiry = await expiryAfter(4, {}, noAnswer);
    assert.ok(expiry > OWNERSHIP_VALID_MS);
  });
});

describe("the leases of an owner that limits their ends", () => {
  // Guards against a lasting task that runs nowhere for longer than it may, since
  // its worker was lost together with the owner (LOST).
  it("have expired in time for lasting tasks", async () => {
    const expiry = await expiryAfter(4, WITH_LIMITS, noAnswer);
    assert.ok(expiry < MAX_LASTING_WAIT_MS - TAKEOVER_MS);
  });

  // Guards against accepted work that waits for longer than it may, since most
  // workers were lost together with the owner (LOST).
  it("have expired in time if most workers do not answer", async () => {
    const expiry = await expiryAfter(20, WITH_LIMITS, noAnswer);
    assert.ok(expiry < MAX_WAIT_MS);
  });

  it("are waited for if the owner has confirmed its end", async () => {
    const expiry = await expiryAfter(
      20,
      WITH_LIMITS,
      () => Promise.resolve(true),
    );
    assert.ok(expiry > WITNESSED_LEASE_MS);
  });
});

it("an owner that has confirmed its end is not waited for", async () => {
  const expiry = await expiryAfter(
    20,
    WITHOUT_LIMITS,
    () => Promise.resolve(true),
  );
  assert.ok(expiry < 8_000);
});
