import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import { ownerRecord } from "./records.ts";
import {
  cancel,
  createBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  simulateTakeover,
  startsIn,
  step,
  stopsIn,
  submit,
  tick,
} from "./testing/domain_bench.ts";

describe("an owner that may have been replaced", () => {
  it("answers that a job is unknown only after a commit", () => {
    const bench = createBench();
    const { key, value = "" } = ownerRecord({ instance: "a", epoch: 1 });
    bench.store.set(key, value);
    simulateTakeover(bench);
    bench.store.clear();
    const [answer] = cancel(bench, "unknown");
    assert.deepEqual(answer, {
      kind: "answer",
      call: 1,
      answer: { kind: "unknownJob" },
    });
    assert.deepEqual([...bench.store.keys()], ["cancelled/unknown"]);
  });
});

describe("a cancelled job whose task completes before its stop", () => {
  it("does not start its next step", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step(), step({ after: [0] })]);
    cancel(bench, "a");
    const commands = [
      ...reportFrom(bench, "w1", { ended: [ended(1, "a.0.0.0", 1, "done")] }),
      ...tick(bench, 100),
    ];
    assert.deepEqual(startsIn(commands), []);
    simulateTakeover(bench);
    bench.commands.length = 0;
    listWorkers(bench, listing("w1"));
    tick(bench, 100);
    assert.deepEqual(startsIn(bench.commands), []);
  });
});

describe("a takeover", () => {
  it("starts no task of a job that was cancelled before it", () => {
    const bench = createBench();
    submit(bench, "a", [step()]);
    cancel(bench, "a");
    simulateTakeover(bench);
    listWorkers(bench, listing("w1"));
    assert.equal(startsIn(tick(bench, 100)).length, 0);
    assert.equal(startsIn(bench.commands).length, 0);
    assert.equal(jobStateOf(bench.domain, "a"), "cancelled");
  });

  it("starts no task of a job that failed before it", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ taskCount: 2 })], { maxAttempts: 1 });
    reportFrom(bench, "w1", { ended: [ended(1, "a.0.0.0", 1, "failed")] });
    assert.equal(jobStateOf(bench.domain, "a"), "failed");
    simulateTakeover(bench);
    bench.commands.length = 0;
    listWorkers(bench, listing("w1"));
    tick(bench, 100);
    assert.equal(startsIn(bench.commands).length, 0);
  });

  it("stops the running tasks of a job that was cancelled before it", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step()]);
    cancel(bench, "a");
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    const [stop] = stopsIn(
      reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] }),
    );
    assert.equal(stop?.task, "a.0.0.0");
  });

  it("keeps the tasks that a worker still runs and their allocations", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const demand = { cpuMillis: 8_000, memoryMb: 1, accelerators: 0 };
    submit(bench, "a", [step({ demand })]);
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] });
    const commands = submit(bench, "b", [step({ demand })]);
    assert.equal(startsIn(commands).length, 0);
  });

  it("restarts a task whose recorded start never reached its worker", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step()]);
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    const [start] = startsIn(reportFrom(bench, "w1", {}));
    assert.equal(start?.attempt, 2);
  });

  it("restarts an unreachable worker's task only after its lease expired", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    submit(bench, "a", [step()]);
    const [first] = startsIn(bench.commands);
    const other = first?.worker === "w1" ? "w2" : "w1";
    simulateTakeover(bench);
    bench.commands.length = 0;
    listWorkers(bench, listing(other));
    tick(bench, 1_000);
    assert.equal(startsIn(bench.commands).length, 0);
    feedEvent(bench, { kind: "workerLapsed", worker: first!.worker });
    const [again] = startsIn(tick(bench, 100).concat(bench.commands));
    assert.equal(again?.worker, other);
  });

  it("continues with the second step after the first was done", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step(), step({ after: [0] })]);
    reportFrom(bench, "w1", { ended: [ended(1, "a.0.0.0", 1, "done")] });
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    const second = running("a.0.1.0", 1);
    reportFrom(bench, "w1", { running: [second] });
    assert.equal(jobStateOf(bench.domain, "a"), "running");
    reportFrom(bench, "w1", { ended: [ended(2, "a.0.1.0", 1, "done")] });
    assert.equal(jobStateOf(bench.domain, "a"), "completed");
  });
});

// Guards against a worker over its capacity: a run of a cancelled job took no
// share of its worker if a step before it had no record.
it("a run of a cancelled job keeps its capacity after a takeover", () => {
  const demand = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 };
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [
    step(),
    step({ after: [0] }),
    step({ after: [1] }),
    step({ after: [2], demand }),
  ]);
  simulateTakeover(bench);
  feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
  cancel(bench, "a");
  reportFrom(bench, "w1", { running: [running("a.0.3.0", 1)] });
  assert.deepEqual(startsIn(submit(bench, "b", [step({ demand })])), []);
});
