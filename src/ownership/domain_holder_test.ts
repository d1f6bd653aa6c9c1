import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { err, ok } from "neverthrow";
import {
  createManualClock,
  silentLogger,
} from "../entry/testing/manual_clock.ts";
import type { Partition, StoreHost } from "../hosts/mod.ts";
import { createCounters } from "../telemetry/mod.ts";
import { createDomainHolder } from "./domain_holder.ts";
import { instantOf } from "./instant.ts";
import { createRelayReportRouter } from "./relay/mod.ts";
import { createWorkerList } from "./worker_list.ts";

const IN_USE = 2;
const PARTITIONS: Partition[] = [0, 1, 2].map((number) => ({
  topic: "domains",
  number,
}));

/** A holder over a store that fences some epochs, and the appends it saw. */
function createBench(fencedUpTo: number) {
  const appends: { number: number; epoch: number }[] = [];
  const ending = new AbortController();
  const clock = createManualClock();
  const unused = () => Promise.reject(new Error("not used here"));
  const store: StoreHost = {
    append(partition, _records, fence) {
      const epoch = fence?.epoch ?? 0;
      appends.push({ number: partition.number, epoch });
      return Promise.resolve(
        epoch > fencedUpTo ? ok(undefined) : err({
          kind: "fenced" as const,
          step: "store.append",
          message: "fenced",
        }),
      );
    },
    newest: () => Promise.resolve(ok({ records: [], nextOffset: 0 })),
    read: unused,
    join: unused,
    leave: unused,
    owners: unused,
  };
  const holder = createDomainHolder({
    store,
    tasks: { look: unused, start: unused, stop: unused, pace: unused },
    clock: { ...clock, sleep: () => new Promise(() => {}) },
    logger: silentLogger,
    counters: createCounters(),
    list: createWorkerList(
      () => ({ reason: "none" }),
      silentLogger,
      clock,
      1_500,
    ),
    leaseMs: 5_000,
    trustMs: 10_000,
    self: "self",
    hasEnded: () => Promise.resolve(true),
    confirmedAt: () => instantOf(clock),
    relayPeers: () => [],
    relaySessions: createRelayReportRouter(),
    newSession: () => "session",
    postToRelay: () => Promise.resolve(undefined),
    isInUse: (partition) => partition === IN_USE,
    servesDomain: () => false,
    onTaken() {},
    renewMembership() {},
    instances: () => ["self"],
    askThrough: () => Promise.resolve(undefined),
    options: { endedJobKeepMs: 1_000 },
    signal: ending.signal,
  });
  return { holder, appends, ending };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await setImmediate();
}

describe("the domains of an instance", () => {
  it("are taken over with those in use first", async () => {
    const { holder, appends, ending } = createBench(0);
    holder.assign({ generation: 1, partitions: PARTITIONS });
    assert.deepEqual(appends.map(({ number }) => number), [IN_USE]);
    await settle();
    assert.equal(holder.count(), 3);
    ending.abort();
  });

  it("are taken over at once for a call", async () => {
    const { holder, ending } = createBench(0);
    holder.assign({ generation: 1, partitions: PARTITIONS });
    assert.notEqual(await holder.ownerOf(1), undefined);
    ending.abort();
  });

  it("are served after a reassignment until the new owner has them", async () => {
    const { holder, ending } = createBench(0);
    const partitions = [PARTITIONS[IN_USE]!];
    holder.assign({ generation: 1, partitions });
    await settle();
    holder.assign({ generation: 2, partitions: [] });
    assert.notEqual(await holder.ownerOf(IN_USE), undefined);
    holder.release(IN_USE, 2);
    assert.equal(await holder.ownerOf(IN_USE), undefined);
    ending.abort();
  });

  it("are left to a successor until the group assigns them anew", async () => {
    const { holder, appends, ending } = createBench(1);
    const assignment = { generation: 1, partitions: [PARTITIONS[IN_USE]!] };
    holder.assign(assignment);
    await settle();
    holder.assign(assignment);
    assert.equal(await holder.ownerOf(IN_USE), undefined);
    assert.equal(appends.length, 1);
    holder.assign({ ...assignment, generation: 2 });
    assert.notEqual(await holder.ownerOf(IN_USE), undefined);
    ending.abort();
  });
});
