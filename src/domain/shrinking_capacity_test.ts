import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import {
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  startsIn,
  step,
  stopsIn,
  submit,
  tick,
} from "./testing/domain_bench.ts";

function listCapacity(bench: DomainBench, cpuMillis: number): void {
  const capacity = { cpuMillis, memoryMb: 8_000, accelerators: 8 };
  feedEvent(bench, {
    kind: "workersListed",
    workers: [listing("w1", { capacity })],
  });
}

// Guards against LIMIT: starts on a worker that no longer has room for them.
describe("a worker whose capacity shrinks while it runs", () => {
  it("gets no start until enough has ended", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ taskCount: 4 })]);
    const names = startsIn(bench.commands).map(({ task }) => task);
    reportFrom(bench, "w1", { running: names.map((name) => running(name, 1)) });
    listCapacity(bench, 2_000);
    bench.commands = [];
    submit(bench, "b", [step()]);
    reportFrom(bench, "w1", {
      running: names.slice(2).map((name) => running(name, 1)),
      ended: [ended(1, names[0]!, 1, "done"), ended(2, names[1]!, 1, "done")],
    });
    assert.deepEqual(startsIn(bench.commands), []);
    reportFrom(bench, "w1", {
      running: [running(names[3]!, 1)],
      ended: [ended(3, names[2]!, 1, "done")],
    });
    assert.equal(startsIn(bench.commands).length, 1);
  });

  it("does not carry out starts that are still on their way", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ taskCount: 4 })]);
    bench.commands = [];
    listCapacity(bench, 2_000);
    assert.equal(stopsIn(bench.commands).length, 2);
  });

  it("leaves work that needs more of it waiting until it grows", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    listCapacity(bench, 2_000);
    const demand = { cpuMillis: 6_000, memoryMb: 1_000, accelerators: 0 };
    submit(bench, "a", [step({ demand })]);
    for (let round = 0; round < 20; round += 1) {
      tick(bench, 1_000);
      reportFrom(bench, "w1", {});
    }
    assert.equal(jobStateOf(bench.domain, "a"), "pending");
    listCapacity(bench, 8_000);
    assert.equal(startsIn(bench.commands).length, 1);
  });
});
