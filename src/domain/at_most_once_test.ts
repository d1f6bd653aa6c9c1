import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import {
  createBench,
  feedEvent,
  listing,
  listWorkers,
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
