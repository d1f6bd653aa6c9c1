import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listing } from "../domain/testing/domain_bench.ts";
import { silentLogger } from "../entry/testing/manual_clock.ts";
import { createWorkerList } from "./worker_list.ts";

const HEARTBEAT_MS = 1_500;
const READ_INTERVAL_MS = 400;

function createTestSetup() {
  const time = { nowMs: 100_000 };
  const clock = {
    nowMs: () => time.nowMs,
    steadyMs: () => time.nowMs,
    sleep: () => Promise.resolve(),
  };
  const list = createWorkerList(
    (id, text) => ({ listing: listing(id, { draining: text === "draining" }) }),
    silentLogger,
    clock,
    HEARTBEAT_MS,
  );
  const applyRecord = (value: string | undefined) =>
    list.apply([{ key: "w", value }]);
  return { time, clock, list, applyRecord };
}

// Guards against LIMIT: starts on a worker that no longer has room for them.
describe("a worker whose capacity shrinks while it runs", () => {
  it("is reported to the owner, and again when it grows", () => {
    const list = createWorkerList(
      (id, text) => ({
        listing: listing(id, {
          capacity: {
            cpuMillis: Number(text),
            memoryMb: 8_000,
            accelerators: 8,
          },
        }),
      }),
      silentLogger,
      createTestSetup().clock,
      HEARTBEAT_MS,
    );
    const seen: number[] = [];
    list.subscribe(() => {
      seen.push(...list.workers().map(({ capacity }) => capacity.cpuMillis));
    }, new AbortController().signal);
    for (const cpuMillis of ["8000", "8000", "3000", "8000"]) {
      list.apply([{ key: "w", value: cpuMillis }]);
    }
    assert.deepEqual(seen, [8_000, 3_000, 8_000]);
  });
});

describe("a worker list that is replaced", () => {
  it("does not keep a worker that is no longer listed", () => {
    const { list, applyRecord } = createTestSetup();
    applyRecord("ready");
    list.replace([{ key: "other", value: "ready" }]);
    assert.deepEqual(list.workers().map(({ id }) => id), ["other"]);
  });
});

describe("a worker that is removed from the list", () => {
  it("has shut down if it was draining and reported recently", () => {
    const { time, list, applyRecord } = createTestSetup();
    list.replace([{ key: "w", value: "ready" }]);
    time.nowMs += READ_INTERVAL_MS;
    applyRecord("draining");
    time.nowMs += 1_000;
    applyRecord(undefined);
    assert.ok(list.hasLeft("w"));
  });

  it("may still run if it was not draining", () => {
    const { time, list, applyRecord } = createTestSetup();
    applyRecord("ready");
    time.nowMs += 1_000;
    applyRecord(undefined);
    assert.ok(!list.hasLeft("w"));
  });

  it("may still run if it was silent before the removal", () => {
    const { time, list, applyRecord } = createTestSetup();
    applyRecord("draining");
    time.nowMs += 3 * HEARTBEAT_MS;
    applyRecord(undefined);
    assert.ok(!list.hasLeft("w"));
  });

  // Guards against tasks that run twice: a worker that drains and has lost its
  // path to the store is dropped like one that has shut down.
  it("may still run if only a snapshot has listed it", () => {
    const { time, list, applyRecord } = createTestSetup();
    list.replace([{ key: "w", value: "draining" }]);
    time.nowMs += READ_INTERVAL_MS;
    applyRecord(undefined);
    assert.ok(!list.hasLeft("w"));
  });

  it("may still run if its last report was read late", () => {
    const { time, list, applyRecord } = createTestSetup();
    list.apply([]);
    time.nowMs += HEARTBEAT_MS;
    applyRecord("draining");
    time.nowMs += 2 * HEARTBEAT_MS;
    applyRecord(undefined);
    assert.ok(!list.hasLeft("w"));
  });

  it("may still run after an outage, even if it was listed again briefly", () => {
    const { time, list, applyRecord } = createTestSetup();
    applyRecord("draining");
    list.recordReadFailure();
    time.nowMs += 4_300;
    // The expired entry is removed, listed again, and removed once more.
    applyRecord(undefined);
    applyRecord("draining");
    time.nowMs += 400;
    applyRecord(undefined);
    assert.ok(!list.hasLeft("w"));
  });
});

describe("an odd entry of the worker list", () => {
  it("is logged once, while the other entries hold", () => {
    const skipped: unknown[] = [];
    const logger = {
      ...silentLogger,
      warn(_message: string, fields?: Record<string, unknown>) {
        skipped.push(fields?.["worker"]);
      },
    };
    const decode = (id: string, text: string) =>
      text === "odd" ? { reason: "odd" } : { listing: listing(id) };
    const { clock } = createTestSetup();
    const list = createWorkerList(decode, logger, clock, HEARTBEAT_MS);
    list.replace([{ key: "x", value: "odd" }, { key: "w", value: "ready" }]);
    list.apply([{ key: "x", value: "odd" }, { key: "v", value: "ready" }]);
    assert.deepEqual(list.workers().map(({ id }) => id), ["w", "v"]);
    assert.deepEqual(skipped, ["x"]);
  });
});
