import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { err, ok } from "neverthrow";
import { policy, step } from "../domain/testing/domain_bench.ts";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { Partition, StoreHost } from "../hosts/mod.ts";
import { createCounters } from "../telemetry/mod.ts";
import { createOwnedDomains } from "./owned_domains.ts";
import { currentInstant } from "./instant.ts";
import { createRelayReportRouter } from "./relay/mod.ts";
import { createWorkerList } from "./worker_list.ts";

const IN_USE = 2;
const IDLE = 1;
const JOB_RECORD = {
  key: "job/a",
  value: JSON.stringify({
    id: "a",
    specification: "text",
    steps: [step()],
    policy: policy(),
    acceptedAtMs: 0,
    outcome: "open",
  }),
};
const PARTITIONS: Partition[] = [0, 1, 2].map((number) => ({
  topic: "domains",
  number,
}));

/** Owned domains on a store that fences epochs up to a limit. */
function createTestSetup(
  fencedUpTo: number,
  checkInstances: () => Promise<void> = () => Promise.resolve(),
) {
  const appends: { number: number; epoch: number }[] = [];
  const controller = new AbortController();
  const clock = createManualClock();
  const unused = () => Promise.reject(new Error("not used here"));
  const store: StoreHost = {
    append(partition, _records, fence) {
      const epoch = fence !== undefined && "epoch" in fence ? fence.epoch : 0;
      appends.push({ number: partition.number, epoch });
      return Promise.resolve(
        epoch > fencedUpTo ? ok(undefined) : err({
          kind: "fenced" as const,
          step: "store.append",
          message: "fenced",
        }),
      );
    },
    newest: ({ number }) =>
      Promise.resolve(
        ok({ records: number === IDLE ? [JOB_RECORD] : [], nextOffset: 0 }),
      ),
    read: unused,
    join: unused,
    leave: unused,
    owners: unused,
  };
  const domains = createOwnedDomains({
    store,
    tasks: { poll: unused, start: unused, stop: unused, pace: unused },
    clock: { ...clock, sleep: () => new Promise(() => {}) },
    logger: silentLogger,
    counters: createCounters(),
    workerList: createWorkerList(
      () => ({ reason: "none" }),
      silentLogger,
      clock,
      1_500,
    ),
    leaseMs: 5_000,
    maxLeaseMs: 10_000,
    ownershipValidMs: 10_000,
    self: "self",
    reportAddress: "self",
    hasStoppedGranting: () => Promise.resolve(true),
    confirmedAt: () => currentInstant(clock),
    checkInstances,
    relayPeers: () => [],
    relaySessions: createRelayReportRouter(),
    newSession: () => "session",
    postToRelay: () => Promise.resolve(undefined),
    clientAccounts: () => [],
    configurationAgeMs: () => 0,
    maxConfigurationAgeMs: 3_500,
    partitionsInUse: () => new Set(),
    isInUse: (partition) => partition === IN_USE,
    servesDomain: () => false,
    onTakeover() {},
    rejoinGroup() {},
    instances: () => ["self"],
    requestAdvice: () => Promise.resolve(undefined),
    options: { endedJobKeepMs: 1_000 },
    signal: controller.signal,
  });
  return { domains, appends, controller };
}

async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await setImmediate();
}

describe("the owned domains of an instance", () => {
  it("are taken over in order, domains in use first", async () => {
    const { domains, appends, controller } = createTestSetup(0);
    domains.assign({ generation: 1, partitions: PARTITIONS });
    assert.deepEqual(appends.map(({ number }) => number), [IN_USE]);
    await flushPromises();
    assert.equal(domains.count(), 3);
    controller.abort();
  });

  it("are taken over immediately when a call needs them", async () => {
    const { domains, controller } = createTestSetup(0);
    domains.assign({ generation: 1, partitions: PARTITIONS });
    assert.notEqual(await domains.ownerOf(1), undefined);
    controller.abort();
  });

  // Guards against a job that is reported as unknown after a takeover, since its
  // queue moved to another service, and nothing uses its domain any more.
  it("are searched for a job before they have all been taken over", async () => {
    const { domains, controller } = createTestSetup(0);
    domains.assign({ generation: 5, partitions: PARTITIONS });
    assert.deepEqual(await domains.find("a", [IDLE, IN_USE]), {
      partition: IDLE,
      cancelledIn: undefined,
      claimedIn: undefined,
      searched: [IDLE, IN_USE],
    });
    assert.ok(domains.loadedOwners().some((owner) => owner.hasJob("a")));
    controller.abort();
  });

  it("are served after a reassignment until the new owner takes over", async () => {
    const { domains, controller } = createTestSetup(0);
    const partitions = [PARTITIONS[IN_USE]!];
    domains.assign({ generation: 1, partitions });
    await flushPromises();
    domains.assign({ generation: 2, partitions: [] });
    assert.notEqual(await domains.ownerOf(IN_USE), undefined);
    domains.release(IN_USE, 2);
    assert.equal(await domains.ownerOf(IN_USE), undefined);
    controller.abort();
  });

  it("are not taken over again from a successor before a new assignment", async () => {
    const { domains, appends, controller } = createTestSetup(1);
    const assignment = { generation: 1, partitions: [PARTITIONS[IN_USE]!] };
    domains.assign(assignment);
    await flushPromises();
    domains.assign(assignment);
    assert.equal(await domains.ownerOf(IN_USE), undefined);
    assert.equal(appends.length, 1);
    domains.assign({ ...assignment, generation: 2 });
    assert.notEqual(await domains.ownerOf(IN_USE), undefined);
    controller.abort();
  });

  // Guards against a new owner that relies on instances which have gone.
  it("start to be owned after a check of the instances, if in use", async () => {
    let checks = 0;
    let endCheck = () => {};
    const { domains, controller } = createTestSetup(0, () => {
      checks += 1;
      return new Promise((resolve) => endCheck = resolve);
    });
    domains.assign({ generation: 1, partitions: [PARTITIONS[IN_USE]!] });
    await flushPromises();
    assert.equal(checks, 1);
    assert.equal(domains.loadedOwners().length, 0);
    endCheck();
    await flushPromises();
    assert.equal(domains.loadedOwners().length, 1);
    domains.assign({ generation: 2, partitions: PARTITIONS });
    await flushPromises();
    assert.equal(checks, 1, "idle domains rely on no instance");
    controller.abort();
  });
});
