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

const HALF_WORKER = { cpuMillis: 4_000, memoryMb: 1_000, accelerators: 0 };

function usageOf(bench: DomainBench) {
  const [usage] = bench.domain.usage.values();
  return usage;
}

describe("the usage of an agreement", () => {
  it("sums the resources that its tasks allocate over time", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ demand: HALF_WORKER })], {
      agreement: "press/desk",
    });
    tick(bench, 0);
    tick(bench, 10_000);
    assert.equal(usageOf(bench)?.used["press/desk"]?.cpuMillisMs, 40_000_000);
  });

  it("counts tasks that start and end between two records", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    tick(bench, 0);
    tick(bench, 1_000);
    submit(bench, "a", [step({ demand: HALF_WORKER })], {
      agreement: "press/desk",
    });
    bench.nowMs += 250;
    reportFrom(bench, "w1", { ended: [ended(1, "a.0.0.0", 1, "done")] });
    tick(bench, 10_000);
    assert.equal(usageOf(bench)?.used["press/desk"]?.cpuMillisMs, 1_000_000);
  });

  it("survives a change of owner and counts the time without one", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ demand: HALF_WORKER })], {
      agreement: "press/desk",
    });
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

  it("is not recorded if no job belongs to an agreement", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ demand: HALF_WORKER })]);
    tick(bench, 0);
    tick(bench, 20_000);
    assert.equal(usageOf(bench), undefined);
  });
});

describe("an agreement that uses more than its share", () => {
  it("is scheduled after the others", () => {
    const bench = createBench();
    submit(bench, "bulk", [step({ taskCount: 4, demand: HALF_WORKER })], {
      agreement: "parish/bulk",
      share: HALF_WORKER,
    });
    listWorkers(bench, listing("w1"));
    submit(bench, "desk", [step({ demand: HALF_WORKER })], {
      agreement: "press/desk",
      share: HALF_WORKER,
      priority: 5,
    });
    listWorkers(bench, listing("w1"), listing("w2"));
    const third = startsIn(bench.commands)[2];
    assert.equal(third?.task, "desk.0.0.0");
  });
});
