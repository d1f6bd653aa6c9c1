import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import {
  cancel,
  createBench,
  type DomainBench,
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

const KEPT_MS = 120_000;

function createBenchWithWorker(): DomainBench {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  return bench;
}

// Guards against UNASKED: a submission that is held up on its way runs although
// its cancellation was answered, since nothing of the cancellation was kept.
describe("a submission that arrives after its cancellation", () => {
  it("is cancelled, and none of its tasks starts", () => {
    const bench = createBenchWithWorker();
    cancel(bench, "a");
    submit(bench, "a", [step({ taskCount: 2 })]);
    tick(bench, 1_000);
    assert.deepEqual(startsIn(bench.commands), []);
    assert.equal(jobStateOf(bench.domain, "a"), "cancelled");
  });

  it("is cancelled by a later owner, too", () => {
    const bench = createBenchWithWorker();
    cancel(bench, "a");
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", {});
    bench.commands = [];
    submit(bench, "a", [step()]);
    assert.deepEqual(startsIn(bench.commands), []);
    assert.equal(jobStateOf(bench.domain, "a"), "cancelled");
  });

  it("is cancelled if it has a schedule", () => {
    const bench = createBenchWithWorker();
    cancel(bench, "a");
    const schedule = { startAtMs: 0, intervalMs: 1_000, occurrences: 3 };
    submit(bench, "a", [step()], {}, schedule);
    tick(bench, 5_000);
    assert.deepEqual(startsIn(bench.commands), []);
  });

  it("is cancelled again if it was withdrawn in between", () => {
    const bench = createBenchWithWorker();
    cancel(bench, "a");
    submit(bench, "a", [step()]);
    feedEvent(bench, { kind: "withdrawn", job: "a" });
    submit(bench, "a", [step()]);
    assert.deepEqual(startsIn(bench.commands), []);
    assert.equal(jobStateOf(bench.domain, "a"), "cancelled");
  });

  it("is unknown until it arrives", () => {
    const bench = createBenchWithWorker();
    const commands = cancel(bench, "a");
    const [answer] = commands.filter(({ kind }) => kind === "answer");
    assert.deepEqual(answer, {
      kind: "answer",
      call: 1,
      answer: { kind: "unknownJob" },
    });
    assert.equal(jobStateOf(bench.domain, "a"), undefined);
  });
});

describe("the cancellation of an unknown job", () => {
  it("does not affect jobs with another id", () => {
    const bench = createBenchWithWorker();
    cancel(bench, "a");
    submit(bench, "b", [step()]);
    assert.equal(startsIn(bench.commands).length, 1);
  });

  it("is kept for as long as an ended job, and then forgotten", () => {
    const bench = createBenchWithWorker();
    cancel(bench, "a");
    assert.equal([...bench.store.keys()].includes("cancelled/a"), true);
    tick(bench, KEPT_MS);
    assert.equal(bench.domain.cancelledIds.size, 1);
    tick(bench, 11_000);
    assert.equal(bench.domain.cancelledIds.size, 0);
    assert.equal([...bench.store.keys()].includes("cancelled/a"), false);
  });
});
