import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { applyDomainEvent, createDomain } from "../../domain/mod.ts";
import { silentLogger } from "../../entry/testing/manual_clock.ts";
import { createCounters } from "../../telemetry/mod.ts";
import { createSimulatedClock } from "../testing/simulated_clock.ts";
import { createAllotmentKeeper } from "./allotment_keeper.ts";
import {
  type AllotmentStore,
  createAllotmentStore,
} from "./testing/allotment_store.ts";

const CAP = { cpuMillis: 100, memoryMb: 0, accelerators: 0 };
/** Longer than the shortest time between two writes. */
const WRITE_GAP_MS = 50;
const IN_USE = new Set([3, 4]);
const NO_REQUEST = { held: { cpuMillis: 40, memoryMb: 0, accelerators: 0 } };

/** An owner of domain 3 on a store that answers when the test says so. */
function createTestSetup(epoch = 5, cap = CAP) {
  const clock = createSimulatedClock();
  const store = createAllotmentStore(clock, true);
  const domain = createDomain({ endedJobKeepMs: 1_000 });
  const controller = new AbortController();
  const account = { name: "north", keys: [], priority: 0, weight: 0, cap };
  const setup = { accounts: [account], ageMs: 0 };
  const keeper = createAllotmentKeeper({
    store: store.host,
    clock,
    logger: silentLogger,
    counters: createCounters(),
    partition: { topic: "domains", number: 3 },
    epoch,
    clientAccounts: () => setup.accounts,
    configurationAgeMs: () => setup.ageMs,
    maxConfigurationAgeMs: 3_500,
    partitionsInUse: () => IN_USE,
    signal: controller.signal,
    emit: (event) =>
      void applyDomainEvent(domain, event, { steadyMs: 0, wallMs: 0 }),
  }, domain);
  return { ...setup, setup, clock, store, domain, keeper, controller };
}

/** Answers calls until none is left that can be answered at once. */
async function answerAll({ calls }: AllotmentStore): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    for (const call of calls) if (!call.isIdle()) call.answer();
    await setImmediate();
  }
}

function addRecord(store: AllotmentStore, key: string, value: object): void {
  store.log.push({ key, value: JSON.stringify(value) });
}

function limitOf(domain: ReturnType<typeof createDomain>) {
  return domain.accountLimits.get("north")?.cpuMillis;
}

describe("the owner of a domain with capped accounts", () => {
  it("has no limit to use before its allotment is stored", async () => {
    const { keeper, domain, store } = createTestSetup();
    keeper.observeConfiguration();
    keeper.review();
    await setImmediate();
    assert.equal(domain.isConfigurationStale, true);
    assert.equal(limitOf(domain), undefined);
    await answerAll(store);
    keeper.review();
    assert.equal(domain.isConfigurationStale, false);
    assert.equal(limitOf(domain), 50);
    assert.equal(store.log.length, 1);
  });

  it("continues the record of an earlier owner under its own epoch", async () => {
    const { keeper, domain, store } = createTestSetup();
    addRecord(store, "3", { epoch: 2, accounts: { north: NO_REQUEST } });
    keeper.review();
    await answerAll(store);
    assert.equal(limitOf(domain), 40);
    const expected = { epoch: 5, accounts: { north: NO_REQUEST } };
    assert.deepEqual(JSON.parse(store.log[1]?.value ?? ""), expected);
  });

  it("uses nothing more once a later owner has written", async () => {
    const { keeper, domain, store } = createTestSetup();
    keeper.review();
    await answerAll(store);
    addRecord(store, "3", { epoch: 6, accounts: { north: NO_REQUEST } });
    await answerAll(store);
    keeper.review();
    assert.equal(limitOf(domain), undefined);
    assert.equal(store.log.length, 2);
  });

  it("skips a record that it cannot read", async () => {
    const { keeper, domain, store } = createTestSetup();
    addRecord(store, "4", { accounts: "none" });
    keeper.review();
    await answerAll(store);
    assert.equal(limitOf(domain), 50);
  });

  // The store may execute the lowering write late, after which other domains
  // count on it.
  it("uses the least of what an unanswered write may leave it", async () => {
    const { keeper, domain, store, clock } = createTestSetup();
    keeper.review();
    await answerAll(store);
    const request = { order: 1, claimed: { ...CAP }, spare: { ...CAP } };
    const other = { ...NO_REQUEST, request };
    addRecord(store, "4", { epoch: 1, accounts: { north: other } });
    for (const call of store.calls) if (!call.isIdle()) call.answer();
    await setImmediate();
    for (const call of store.calls) if (!call.isIdle()) call.loseAnswer();
    await clock.advance(50);
    assert.equal(limitOf(domain), 0);
    keeper.review();
    assert.equal(limitOf(domain), 0);
  });

  it("keeps its limits while the store is silent", async () => {
    const { keeper, domain, store, clock } = createTestSetup();
    for (let round = 0; round < 40; round += 1) {
      keeper.review();
      await answerAll(store);
      await clock.advance(100);
    }
    await clock.advance(60_000);
    keeper.review();
    assert.equal(limitOf(domain), 50);
    assert.equal(domain.isConfigurationStale, false);
  });

  it("starts nothing under a cap while its configuration is old", async () => {
    const { keeper, domain, store, setup } = createTestSetup();
    keeper.review();
    await answerAll(store);
    setup.ageMs = 3_600;
    keeper.observeConfiguration();
    assert.equal(domain.isConfigurationStale, true);
  });

  it("calls nothing where no account has a cap", async () => {
    const none = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    const { keeper, store } = createTestSetup(5, none);
    keeper.review();
    await setImmediate();
    assert.equal(store.calls.size, 0);
  });
});

// Guards against accounts that never get an allotment since others fill the
// record of the domain.
it("an account whose work waits gets an allotment beside thousands of others", async () => {
  const { keeper, domain, store, setup, clock } = createTestSetup();
  const accountOf = (name: string) => ({
    name,
    keys: [],
    priority: 0,
    weight: 0,
    cap: CAP,
  });
  const others = Array.from(
    { length: 20_000 },
    (_, index) => accountOf(`account-${index}`),
  );
  setup.accounts = [...others, accountOf("north")];
  keeper.observeConfiguration();
  keeper.review();
  await answerAll(store);
  const stored = () => store.log.at(-1)?.value ?? "";
  assert.ok(stored().length > 0 && stored().length <= 262_144);
  assert.ok(!stored().includes('"north"'));
  domain.accountWaits.set("north", {
    atOnce: CAP,
    holdsOthers: false,
    total: CAP,
  });
  await clock.advance(WRITE_GAP_MS);
  keeper.review();
  await answerAll(store);
  assert.ok(stored().includes('"north"'));
  assert.ok(stored().length <= 262_144);
});
