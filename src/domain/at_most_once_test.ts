import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import {
  createBench,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  simulateTakeover,
  startsIn,
  step,
  submit,
  tick,
} from "./testing/domain_bench.ts";

describe("an at-most-once task", () => {
  it("fails its job when its worker's lease expires", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    submit(bench, "a", [step({ atMostOnce: true })]);
    const [start] = startsIn(bench.commands);
    feedEvent(bench, { kind: "workerLapsed", worker: start!.worker });
    tick(bench, 100);
    assert.equal(startsIn(bench.commands).length, 1);
    assert.equal(jobStateOf(bench.domain, "a"), "failed");
  });

  // Guards against a task that runs twice: its worker has restarted under the
  // same id, so that the run is not listed, and its owner is lost.
  for (const moment of ["before", "after"]) {
    it(`fails its job when its worker restarts ${moment} a takeover`, () => {
      const bench = createBench();
      listWorkers(bench, listing("w1"), listing("w2"));
      submit(bench, "a", [step({ atMostOnce: true })]);
      const [start] = startsIn(bench.commands);
      const { worker } = start!;
      const listings = [listing("w1"), listing("w2")];
      if (moment === "before") reportFrom(bench, worker, { bornMs: 2 });
      simulateTakeover(bench);
      bench.commands.length = 0;
      feedEvent(bench, { kind: "workersListed", workers: listings });
      for (const { id } of listings) {
        reportFrom(bench, id, { bornMs: id === worker ? 2 : 1 });
      }
      assert.deepEqual(startsIn(bench.commands), []);
      assert.equal(jobStateOf(bench.domain, "a"), "failed");
    });
  }

  it("fails its job after a takeover if its incarnation is not on record", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ atMostOnce: true })]);
    const key = [...bench.store.keys()].find((name) => name.includes("a.0.0"))!;
    const record = JSON.parse(bench.store.get(key)!);
    record.tasks = record.tasks.map((task: unknown[]) => task.slice(0, 5));
    bench.store.set(key, JSON.stringify(record));
    simulateTakeover(bench);
    bench.commands.length = 0;
    listWorkers(bench, listing("w1"));
    assert.deepEqual(startsIn(bench.commands), []);
    assert.equal(jobStateOf(bench.domain, "a"), "failed");
  });

  it("is started again if it has certainly not run", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step({ atMostOnce: true })]);
    simulateTakeover(bench);
    bench.commands.length = 0;
    listWorkers(bench, listing("w1"));
    assert.equal(startsIn(bench.commands)[0]?.attempt, 2);
  });
});

describe("a job with a limit on its wait before it starts", () => {
  it("is cancelled once it has waited for longer", () => {
    const bench = createBench();
    feedEvent(bench, {
      kind: "submitted",
      call: 1,
      request: {
        id: "a",
        specification: "",
        steps: [step()],
        startWithinMs: 1_000,
      },
      policy: {
        queue: "q",
        service: "desk",
        priority: 0,
        maxAttempts: 1,
        slackFactor: 1,
        targetCompletionMs: 0,
      },
    });
    tick(bench, 1_500);
    assert.equal(jobStateOf(bench.domain, "a"), "cancelled");
  });
});
