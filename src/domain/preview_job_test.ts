import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { QueuePolicy, Step } from "./job.ts";
import { previewJob } from "./preview_job.ts";
import {
  createBench,
  type DomainBench,
  listing,
  listWorkers,
  policy,
  startsIn,
  step,
  submit,
} from "./testing/domain_bench.ts";

function preview(
  bench: DomainBench,
  steps: Step[],
  changes: Partial<QueuePolicy> = {},
) {
  const moment = { steadyMs: bench.nowMs, wallMs: 1_780_000_000_000 };
  const request = { id: "previewed", specification: "", steps };
  return previewJob(bench.domain, request, policy(changes), moment);
}

describe("the preview of a job", () => {
  it("names the worker that the same submission is placed on", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"), listing("w2"));
    submit(bench, "busy", [step()]);
    const { steps: [first], laterSteps } = preview(bench, [
      step(),
      step({ after: [0] }),
    ]);
    const [start] = startsIn(submit(bench, "job", [step()]));
    assert.deepEqual(first?.placements, [[start?.worker, 1]]);
    assert.equal(first?.candidates[0]?.worker, start?.worker);
    assert.equal(first?.candidates.length, 2);
    assert.equal(laterSteps, 1);
  });

  it("changes nothing in the domain", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const before = structuredClone(bench.domain);
    preview(bench, [step({ taskCount: 20 })]);
    assert.deepEqual(bench.domain, before);
  });

  it("does not place tasks that the policy has to allow", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const advice = { decideMs: 20, perWorkerMs: 1, validMs: 2_000 };
    const { needsAdvice, steps: [first] } = preview(bench, [step()], {
      advice,
    });
    assert.equal(needsAdvice, true);
    assert.deepEqual(first?.placements, []);
    assert.deepEqual(first?.candidates.map(({ worker }) => worker), ["w1"]);
    assert.equal(first?.wait?.ticketed, 0);
  });

  it("counts the steps that go first, and what the job waits for", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "earlier", [step({ taskCount: 9 })]);
    const { steps: [first] } = preview(bench, [step()]);
    assert.equal(first?.rank, 2);
    assert.equal(first?.waitingSteps, 2);
    assert.deepEqual(first?.candidates, []);
    assert.equal(first?.wait?.withRoom, 0);
  });
});
