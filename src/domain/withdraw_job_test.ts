import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import { drainDirtyRecords } from "./records.ts";
import { applyDomainEvent, scheduleDomain } from "./apply_domain_event.ts";
import {
  cancel,
  createBench,
  feedEvent,
  feedUncommitted,
  listing,
  listWorkers,
  policy,
  simulateTakeover,
  startsIn,
  step,
  submit,
} from "./testing/domain_bench.ts";

const MOMENT = { steadyMs: 0, wallMs: 1_780_000_000_000 };
const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 1_000, accelerators: 0 };

describe("a job whose record the store does not accept", () => {
  it("is removed with its allocations, and leaves no record", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    const request = {
      id: "a",
      specification: "",
      steps: [step({ demand: WHOLE_WORKER })],
    };
    applyDomainEvent(
      bench.domain,
      { kind: "submitted", call: 1, request, policy: policy() },
      MOMENT,
    );
    assert.equal(startsIn(scheduleDomain(bench.domain, MOMENT)).length, 1);
    applyDomainEvent(bench.domain, { kind: "withdrawn", job: "a" }, MOMENT);
    assert.equal(jobStateOf(bench.domain, "a"), undefined);
    assert.deepEqual(drainDirtyRecords(bench.domain), []);
    const [start] = startsIn(
      submit(bench, "b", [step({ demand: WHOLE_WORKER })]),
    );
    assert.equal(start?.task, "b.0.0.0");
  });

  // Guards against an earlier job of the same id that a later owner restores,
  // since its deletion was taken back with the withdrawn job.
  it("does not keep the records of an earlier job with its id", () => {
    const bench = createBench();
    const steps = [step({ taskCount: 2 }), step({ after: [0] })];
    // The tasks of a job under an agreement are shown after its end.
    const changes = { agreement: "a1" };
    submit(bench, "a", steps, changes);
    cancel(bench, "a");
    assert.deepEqual([...bench.store.keys()], ["job/a", "step/a.0.0"]);
    bench.nowMs += 131_000;
    feedUncommitted(bench, { kind: "ticked" });
    assert.equal(jobStateOf(bench.domain, "a"), undefined);
    const request = { id: "a", specification: "", steps };
    feedUncommitted(bench, {
      kind: "submitted",
      call: 9,
      request,
      policy: policy(changes),
    });
    feedEvent(bench, { kind: "withdrawn", job: "a" });
    assert.deepEqual([...bench.store.keys()], []);
    simulateTakeover(bench);
    assert.equal(jobStateOf(bench.domain, "a"), undefined);
  });
});
