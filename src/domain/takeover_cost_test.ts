import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDomain, type Domain } from "./domain.ts";
import type { Step } from "./job.ts";
import { restoreDomain } from "./records.ts";
import {
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  listing,
  listWorkers,
  reportFrom,
  step,
  submit,
} from "./testing/domain_bench.ts";

/** How often a takeover may read each step, and each predecessor that it names. */
const MAX_READS = 8;

/**
 * Takes over like `simulateTakeover`. A read of a step's predecessors that is
 * beyond a number of reads in proportion to the job's size throws.
 */
function takeOverWithLimit(bench: DomainBench): void {
  const domain = createDomain(bench.domain.options);
  limitReads(domain);
  bench.domain = domain;
  const records = [...bench.store].map(([key, value]) => ({ key, value }));
  restoreDomain(domain, records, bench.nowMs);
}

function limitReads(domain: Domain): void {
  const set = domain.jobs.set.bind(domain.jobs);
  domain.jobs.set = (id, run) => {
    limitReadsOf(run.job.steps);
    return set(id, run);
  };
}

function limitReadsOf(steps: Step[]): void {
  const edges = steps.reduce((sum, { after }) => sum + after.length, 0);
  const limit = MAX_READS * (steps.length + edges);
  let reads = 0;
  for (const step of steps) {
    const { after } = step;
    Object.defineProperty(step, "after", {
      enumerable: true,
      get() {
        reads += 1 + after.length;
        if (reads > limit) throw new Error(`more than ${limit} reads`);
        return after;
      },
    });
  }
}

/** Creates steps of one task, each of which follows all earlier ones. */
function createFullOrder(count: number): Step[] {
  return Array.from(
    { length: count },
    (_, index) => step({ after: [...Array(index).keys()] }),
  );
}

/** Returns the ends of the first steps of job `a`, in order. */
function endsOfSteps(count: number) {
  return Array.from(
    { length: count },
    (_, index) => ended(index + 1, `a.0.${index}.0`, 1, "done"),
  );
}

// Guards against takeovers whose time grows with the square of a job's size:
// each restored or completed step visited all steps with their predecessors.
describe("a takeover of a job with many predecessors", () => {
  const STEPS = 200;
  const DONE = 150;

  it("visits each of them a few times to restore it", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", createFullOrder(STEPS));
    for (const end of endsOfSteps(DONE)) {
      reportFrom(bench, "w1", { ended: [end] });
    }
    takeOverWithLimit(bench);
    assert.equal(bench.domain.steps.size, DONE + 1);
  });

  it("visits each of them a few times to apply a list of ends", () => {
    const bench = createBench();
    listWorkers(bench, listing("w1"));
    submit(bench, "a", createFullOrder(STEPS));
    takeOverWithLimit(bench);
    feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
    reportFrom(bench, "w1", { ended: endsOfSteps(DONE) });
    assert.equal(bench.domain.steps.size, DONE + 1);
  });
});
