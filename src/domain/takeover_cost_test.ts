import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDomain, type Domain } from "./domain.ts";
import { describeJob } from "./describe_job.ts";
import type { Step } from "./job.ts";
import { jobStateOf } from "./job_state.ts";
import { restoreDomain } from "./records.ts";
import type { WorkerListing } from "./worker_listing.ts";
import {
  cancel,
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
  submit,
  tick,
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

const STAGE_STEPS = 4;

/** Creates stages of four steps, each of which follows those of the one before. */
function createStages(count: number): Step[] {
  return Array.from({ length: count * STAGE_STEPS }, (_, index) => {
    const first = (Math.floor(index / STAGE_STEPS) - 1) * STAGE_STEPS;
    const before = Array.from({ length: STAGE_STEPS }, (_, i) => first + i);
    return step({ after: first < 0 ? [] : before });
  });
}

/** Takes over after the first steps of job `a` were placed on worker `w1`. */
function takeOverJob(steps: Step[]): DomainBench {
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", steps);
  takeOverWithLimit(bench);
  feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
  return bench;
}

function countStepsInState(bench: DomainBench, state: string): number {
  const moment = { steadyMs: bench.nowMs, wallMs: 0 };
  const { tasks } = describeJob(bench.domain, "a", moment)!;
  return tasks.filter((task) => task.state === state).length;
}

// Guards against owners that hang one after the other: a listed run of a step
// whose predecessors are not recorded as done visited each chain of
// predecessors by itself, 4^63 of them here.
describe("a takeover of a job of 64 stages with four steps each", () => {
  const STAGES = 64;
  const LAST = STAGES * STAGE_STEPS - 1;

  it("adopts a run of the last stage", () => {
    const bench = takeOverJob(createStages(STAGES));
    reportFrom(bench, "w1", { running: [running(`a.0.${LAST}.0`, 1)] });
    assert.equal(countStepsInState(bench, "done"), LAST + 1 - STAGE_STEPS);
    assert.equal(countStepsInState(bench, "running"), 1);
    const last = Array.from(
      { length: STAGE_STEPS },
      (_, index) => ended(index + 1, `a.0.${LAST - index}.0`, 1, "done"),
    );
    reportFrom(bench, "w1", { ended: last });
    assert.equal(jobStateOf(bench.domain, "a"), "completed");
  });

  it("adopts runs of all steps, listed in any order", () => {
    const names = Array.from(
      { length: LAST + 1 },
      (_, index) => `a.0.${index}.0`,
    );
    for (const listed of [names, names.toReversed()]) {
      const bench = takeOverJob(createStages(STAGES));
      reportFrom(bench, "w1", {
        ended: listed.map((name, index) => ended(index + 1, name, 1, "done")),
      });
      assert.equal(jobStateOf(bench.domain, "a"), "completed");
    }
  });

  it("adopts runs of a cancelled job, listed in any order", () => {
    const names = Array.from({ length: LAST }, (_, index) => `a.0.${index}.0`);
    for (const listed of [names, names.toReversed()]) {
      const bench = takeOverJob(createStages(STAGES));
      cancel(bench, "a");
      const runs = listed.map((name) => running(name, 1));
      const commands = reportFrom(bench, "w1", { running: runs });
      assert.deepEqual(startsIn(commands), []);
      assert.equal(jobStateOf(bench.domain, "a"), "cancelled");
    }
  });
});

// Guards against a stack overflow at a takeover: the depth of the calls was the
// length of the chain of predecessors.
it("a takeover adopts a run of the last step of a long chain", () => {
  const STEPS = 20_000;
  const chain = Array.from(
    { length: STEPS },
    (_, index) => step({ after: index === 0 ? [] : [index - 1] }),
  );
  const bench = takeOverJob(chain);
  reportFrom(bench, "w1", { running: [running(`a.0.${STEPS - 1}.0`, 1)] });
  assert.equal(countStepsInState(bench, "done"), STEPS - 1);
});

/** Makes a read of the labels of workers beyond a number of reads throw. */
function limitLabelReads(listings: WorkerListing[], limit: number): void {
  let reads = 0;
  for (const listing of listings) {
    const { labels } = listing;
    Object.defineProperty(listing, "labels", {
      get() {
        reads += 1;
        if (reads > limit) throw new Error(`more than ${limit} reads`);
        return labels;
      },
    });
  }
}

// Guards against passes that take seconds after a takeover: for each waiting
// step, all workers were searched for one that may hold unrecorded tasks of it.
it("a pass before workers have reported visits each worker a few times", () => {
  const SIZE = 200;
  const bench = createBench();
  const ids = Array.from({ length: SIZE }, (_, index) => `w${index}`);
  listWorkers(bench, ...ids.map((id) => listing(id)));
  for (let index = 0; index < SIZE; index += 1) {
    submit(bench, `a${index}`, [step({ requiredLabel: "rare" })]);
  }
  takeOverWithLimit(bench);
  const rare = ids.at(-1)!;
  const listings = ids.map((id) =>
    listing(id, id === rare ? { labels: ["rare"] } : {})
  );
  limitLabelReads(listings, MAX_READS * (SIZE + SIZE));
  feedEvent(bench, { kind: "workersListed", workers: listings });
  assert.equal(bench.domain.unsettledWorkers.size, SIZE);
  assert.deepEqual(startsIn(tick(bench, 1)), []);
});

/** Makes reads of crash counts beyond a number of counts throw. */
function limitCrashReads(domain: Domain, limit: number): void {
  let reads = 0;
  const count = (amount: number) => {
    reads += amount;
    if (reads > limit) throw new Error(`more than ${limit} reads`);
  };
  const set = domain.steps.set.bind(domain.steps);
  domain.steps.set = (key, run) => {
    let counts = run.crashCounts;
    Object.defineProperty(run, "crashCounts", {
      get() {
        count(1);
        return counts;
      },
      set(restored: Map<number, number>) {
        counts = restored;
        for (const method of ["keys", "values"] as const) {
          const list = counts[method].bind(counts);
          counts[method] = () => {
            count(counts.size);
            return list();
          };
        }
      },
    });
    return set(key, run);
  };
}

// Guards against takeovers whose time grows with the square of a gang's size:
// for each member, the crashes under all members were counted.
it("a takeover of a gang that crashed workers counts its crashes a few times", () => {
  const MEMBERS = 400;
  const demand = { cpuMillis: 1, memoryMb: 1, accelerators: 0 };
  const bench = createBench();
  listWorkers(bench, listing("w1"));
  submit(bench, "a", [step({ taskCount: MEMBERS, gang: true, demand })]);
  reportFrom(bench, "w1", { bornMs: 2 });
  tick(bench, 1_000);
  const domain = createDomain(bench.domain.options);
  limitCrashReads(domain, MAX_READS * MEMBERS);
  bench.domain = domain;
  const records = [...bench.store].map(([key, value]) => ({ key, value }));
  restoreDomain(domain, records, bench.nowMs);
  feedEvent(bench, { kind: "workersListed", workers: [listing("w1")] });
  reportFrom(bench, "w1", { bornMs: 3 });
  const run = domain.steps.get("a.0.0")!;
  assert.equal(run.crashCounts.get(0), 2);
});
