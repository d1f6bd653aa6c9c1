import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countPendingJobs } from "./job_state.ts";
import {
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  running,
  simulateTakeover,
  startsIn,
  step,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 };

const pendingIn = (bench: DomainBench) =>
  countPendingJobs(bench.domain, "proofs");

describe("the number of jobs that wait", () => {
  // Guards against jobs that are counted as begun although their start never
  // reached a worker, whose path to the owner was cut.
  it("includes a job whose start has no answer", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const [start] = startsIn(submit(bench, "a", [step()]));
    assert.equal(start?.worker, "w1");
    feedEvent(bench, { kind: "workerSilent", worker: "w1" });
    tick(bench, 5_000);
    assert.equal(pendingIn(bench), 1);
  });

  it("leaves out a job of which a worker has accepted a start", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step()]);
    feedEvent(bench, {
      kind: "startAnswered",
      worker: "w1",
      task: "a.0.0.0",
      attempt: 1,
      answer: { kind: "accepted" },
    });
    assert.equal(pendingIn(bench), 0);
  });

  it("leaves out a job of which a worker has listed an end", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step()]);
    reportFrom(bench, "w1", { ended: [ended(1, "a.0.0.0", 1, "failed")] });
    assert.equal(pendingIn(bench), 0);
    simulateTakeover(bench);
    assert.equal(pendingIn(bench), 0);
  });

  it("leaves out a job of which a run is listed after a takeover", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", [step()]);
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] });
    assert.equal(pendingIn(bench), 0);
  });

  // Guards against all restored jobs being counted as begun once the leases of
  // a worker have expired on which any of them may have run.
  it("includes jobs that may have run unrecorded, but probably did not", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "blocker", [step({ demand: WHOLE_WORKER })]);
    reportFrom(bench, "w1", { running: [running("blocker.0.0.0", 1)] });
    for (const id of ["a", "b", "c"]) {
      submit(bench, id, [step({ demand: WHOLE_WORKER })]);
    }
    assert.equal(pendingIn(bench), 3);
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workerLapsed", worker: "w1" });
    tick(bench, 100);
    assert.ok(pendingIn(bench) >= 3);
  });
});
