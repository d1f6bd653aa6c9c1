import assert from "node:assert/strict";
import { it } from "node:test";
import { currentInstant } from "./instant.ts";
import { UNWITNESSED_GRANT_MS } from "./lease_time.ts";
import { leaseLimitMs, remainingGrantMs } from "./owner_links.ts";
import { confirmOwnership } from "./owner_passes.ts";
import type { OwnerState } from "./owner_state.ts";
import { createWorkerContact } from "./worker_contact.ts";

const VALID_MS = 14_000;
const FULL_LEASE_MS = 5_500;
/** The longest time until a worker has got its next lease, in ms. */
const MIN_LEASE_MS = 1_700;

/** An owner of one worker, which was confirmed by the store just now. */
function createFixture() {
  const time = { steadyMs: 1_000, wallMs: 90_000 };
  const clock = {
    steadyMs: () => time.steadyMs,
    nowMs: () => time.wallMs,
    sleep: () => Promise.resolve(),
  };
  const confirmedAt = currentInstant(clock);
  const contact = createWorkerContact(clock);
  const permit = { bornMs: 1, revision: 1, phase: "granted" };
  const state = {
    host: { clock, ownershipValidMs: VALID_MS, confirmedAt: () => confirmedAt },
    writer: { confirmedAt: () => confirmedAt },
    domain: { startPermits: new Map([["w", permit]]) },
    contact,
  } as unknown as OwnerState;
  const advance = (durationMs: number) => {
    time.steadyMs += durationMs;
    time.wallMs += durationMs;
  };
  const answer = () => contact.record("w", 1, time.steadyMs);
  return { time, state, advance, answer };
}

it("an owner may not grant leases after its machine was suspended", () => {
  const { time, state, answer } = createFixture();
  answer();
  assert.equal(remainingGrantMs(state), UNWITNESSED_GRANT_MS);
  // The steady clock stops during a suspension.
  time.wallMs += VALID_MS;
  assert.ok(remainingGrantMs(state) <= 0);
});

it("an owner that gets answers grants leases while the store is silent", () => {
  const { state, advance, answer } = createFixture();
  for (let elapsedMs = 1_000; elapsedMs < VALID_MS; elapsedMs += 1_000) {
    advance(1_000);
    answer();
    assert.ok(remainingGrantMs(state) > 0, `after ${elapsedMs} ms`);
  }
  advance(1_000);
  answer();
  assert.ok(remainingGrantMs(state) <= 0);
});

// Guards against tasks that lose their leases in an outage of the store, since
// the ends of these are limited.
it("an owner that gets answers keeps leases in an outage of 10 s", () => {
  const { state, advance, answer } = createFixture();
  for (let elapsedMs = 1_000; elapsedMs <= 10_000; elapsedMs += 1_000) {
    answer();
    advance(1_000);
    assert.ok(leaseLimitMs(state) >= MIN_LEASE_MS, `after ${elapsedMs} ms`);
  }
});

it("an owner grants leases of full length while the store answers", () => {
  const { state, advance } = createFixture();
  advance(1_000);
  assert.ok(leaseLimitMs(state) >= FULL_LEASE_MS);
});

it("an owner grants no leases without answers of the store and workers", () => {
  const { state, advance, answer } = createFixture();
  answer();
  advance(UNWITNESSED_GRANT_MS);
  assert.ok(remainingGrantMs(state) <= 0);
  answer();
  assert.ok(remainingGrantMs(state) > 0);
});

// Guards against tasks that lose their leases although the store answers, since
// their workers drain and have no permit, and nothing else is to be stored.
it("an owner of running tasks stores a record before its grant ends", () => {
  const { state, advance } = createFixture();
  let commits = 0;
  const domain = {
    startPermits: new Map(),
    workers: new Map([["w", { placed: new Map([["a.0.0.0", {}]]) }]]),
    owners: [{ instance: "a", epoch: 3 }],
    dirtyKeys: new Set(),
  };
  const writer = {
    ...state.writer,
    isIdle: () => true,
    requestCommit: () => commits += 1,
  };
  const owner = { ...state, domain, writer } as unknown as OwnerState;
  confirmOwnership(owner);
  assert.equal(commits, 0);
  advance(UNWITNESSED_GRANT_MS - 1_000);
  confirmOwnership(owner);
  assert.equal(commits, 1);
  assert.deepEqual([...domain.dirtyKeys], ["owner/3"]);
});
