import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createBench,
  type DomainBench,
  ended,
  listing,
  listWorkers,
  reportFrom,
  simulateTakeover,
  startsIn,
  step,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const HALF = { cpuMillis: 4_000, memoryMb: 1_000, accelerators: 0 };

function usageOf(bench: DomainBench) {
  const [usage] = bench.domain.usage.values();
  return usage;
}

describe("the use of an agreement", () => {
  it("adds up the room that its tasks hold", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ demand: HALF })], { agreement: "press/desk" });
    tick(bench, 0);
    tick(bench, 10_000);
    assert.equal(usageOf(bench)?.used["press/desk"]?.cpuMillisMs, 40_000_000);
  });

  it("counts tasks that start and end between two records", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    tick(bench, 0);
    tick(bench, 1_000);
    submit(bench, "a", [step({ demand: HALF })], { agreement: "press/desk" });
    bench.nowMs += 250;
    reportFrom(bench, "w1", { ended: [ended(1, "a.0.0.0", 1, "done")] });
    tick(bench, 10_000);
    assert.equal(usageOf(bench)?.used["press/desk"]?.cpuMillisMs, 1_000_000);
  });

  it("outlives its owner, and shows the time without one", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ demand: HALF })], { agreement: "press/desk" });
    tick(bench, 0);
    tick(bench, 10_000);
    simulateTakeover(bench);
    listWorkers(bench, listing("w1"));
    tick(bench, 3_000);
    tick(bench, 10_000);
    const usage = usageOf(bench);
    assert.equal(usage?.observedMs, 20_000);
    assert.equal(usage?.unobservedMs, 3_000);
  });

  it("is not recorded for jobs without one", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ demand: HALF })]);
    tick(bench, 0);
    tick(bench, 20_000);
    assert.equal(usageOf(bench), undefined);
  });
});

describe("an agreement that holds more than its share", () => {
  it("gets room after the others", () => {
    const bench = createBench();
    submit(bench, "bulk", [step({ taskCount: 4, demand: HALF })], {
      agreement: "parish/bulk",
      share: HALF,
    });
    listWorkers(bench, listing("w1"));
    submit(bench, "desk", [step({ demand: HALF })], {
      agreement: "press/desk",
      share: HALF,
      priority: 5,
    });
    listWorkers(bench, listing("w1"), listing("w2"));
    const third = startsIn(bench.commands)[2];
    assert.equal(third?.task, "desk.0.0.0");
  });
});
