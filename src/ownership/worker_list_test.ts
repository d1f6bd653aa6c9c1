import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listing } from "../domain/testing/domain_bench.ts";
import { silentLogger } from "../entry/testing/manual_clock.ts";
import { createWorkerList } from "./worker_list.ts";

const HEARTBEAT_MS = 1_500;

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
  const report = (value: string | undefined) =>
    list.apply([{ key: "w", value }]);
  return { time, list, report };
}

describe("a list that is read anew", () => {
  it("does not bring back a worker that had left", () => {
    const { list, report } = createTestSetup();
    report("ready");
    list.replace([{ key: "other", value: "ready" }]);
    assert.deepEqual(list.workers().map(({ id }) => id), ["other"]);
  });
});

describe("a worker that is removed from the list", () => {
  it("has ended if it drained and was heard of lately", () => {
    const { time, list, report } = createTestSetup();
    report("draining");
    time.nowMs += 1_000;
    report(undefined);
    assert.ok(list.hasLeft("w"));
  });

  it("may run on if it never drained", () => {
    const { time, list, report } = createTestSetup();
    report("ready");
    time.nowMs += 1_000;
    report(undefined);
    assert.ok(!list.hasLeft("w"));
  });

  it("may run on if it was silent before", () => {
    const { time, list, report } = createTestSetup();
    report("draining");
    time.nowMs += 3 * HEARTBEAT_MS;
    report(undefined);
    assert.ok(!list.hasLeft("w"));
  });

  it("may run on after an outage, though it was back for a moment", () => {
    const { time, list, report } = createTestSetup();
    report("draining");
    list.recordReadFailure();
    time.nowMs += 4_300;
    // The lapsed entry is removed, comes back, and is removed once more.
    report(undefined);
    report("draining");
    time.nowMs += 400;
    report(undefined);
    assert.ok(!list.hasLeft("w"));
  });
});
