import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobStateOf } from "./job_state.ts";
import { drainDirtyRecords } from "./records.ts";
import { applyDomainEvent, scheduleDomain } from "./apply_domain_event.ts";
import {
  createBench,
  listing,
  listWorkers,
  policy,
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
});
