import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { takeAdviceRequest } from "./advice_requests.ts";
import { mayPrecedeCommit } from "./start_permit.ts";
import {
  createBench,
  type DomainBench,
  ended,
  feedEvent,
  feedUncommitted,
  listing,
  listWorkers,
  reportFrom,
  running,
  startsIn,
  step,
  stopsIn,
  submit,
  tick,
} from "./testing/domain_bench.ts";
import type { WorkerListing } from "./worker_listing.ts";

const ADVICE = { decideMs: 100, perWorkerMs: 1, validMs: 60_000 };
const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 };
const FIRST = { bornMs: 1, labels: ["a", "r1"] };
const SAME_KIND = { bornMs: 2, labels: ["a", "r1"] };
const OTHER_KIND = { bornMs: 2, labels: ["b", "r1"] };
const SMALLER = {
  bornMs: 2,
  capacity: { cpuMillis: 2_000, memoryMb: 8_000, accelerators: 8 },
};

function createBenchWith(entry: Partial<WorkerListing> = FIRST): DomainBench {
  const bench = createBench();
  listWorkers(bench, listing("w1", entry));
  return bench;
}

function list(bench: DomainBench, entry: Partial<WorkerListing>): void {
  feedEvent(bench, {
    kind: "workersListed",
    workers: [listing("w1", entry)],
  });
}

function takeRequest(bench: DomainBench): string[] | undefined {
  const moment = { steadyMs: bench.nowMs, wallMs: bench.nowMs };
  return takeAdviceRequest(bench.domain, moment, Infinity)?.workers;
}

function allow(bench: DomainBench, stepKey: string, ticket: string): void {
  feedEvent(bench, {
    kind: "advised",
    stepKey,
    namedWorkers: ["w1"],
    allowed: [["w1", ticket]],
    validMs: ADVICE.validMs,
  });
}

/** Places a task that takes the whole worker, and has a report list it. */
function occupy(bench: DomainBench): void {
  submit(bench, "x", [step({ demand: WHOLE_WORKER })]);
  reportFrom(bench, "w1", { running: [running("x.0.0.0", 1)] });
  bench.commands = [];
}

// Guards against ROUTE and LIMIT: a worker crashes and starts again under its id
// as one of another kind. Its reports show that before its entry does.
describe("a worker that reports before its first entry", () => {
  it("gets no start by the label of its former incarnation", () => {
    const bench = createBenchWith();
    reportFrom(bench, "w1", { bornMs: 2 });
    submit(bench, "a", [step({ requiredLabel: "a" })]);
    list(bench, OTHER_KIND);
    reportFrom(bench, "w1", { bornMs: 2 });
    assert.deepEqual(startsIn(bench.commands), []);
  });

  it("gets what had run on it again only if its entry allows it", () => {
    const bench = createBenchWith();
    submit(bench, "a", [step({ requiredLabel: "a" })]);
    reportFrom(bench, "w1", { running: [running("a.0.0.0", 1)] });
    bench.commands = [];
    bench.nowMs += 3_000;
    reportFrom(bench, "w1", { bornMs: 2 });
    assert.deepEqual(startsIn(bench.commands), []);
    list(bench, SAME_KIND);
    assert.equal(startsIn(bench.commands).length, 1);
  });

  it("gets no start beyond the capacity of its entry", () => {
    const bench = createBenchWith();
    reportFrom(bench, "w1", { bornMs: 2 });
    submit(bench, "a", [step({ taskCount: 8 })]);
    assert.deepEqual(startsIn(bench.commands), []);
    list(bench, SMALLER);
    assert.equal(startsIn(bench.commands).length, 2);
  });

  it("gets no start as a member of a gang", () => {
    const bench = createBenchWith();
    reportFrom(bench, "w1", { bornMs: 2 });
    submit(bench, "a", [step({ taskCount: 4, gang: true })]);
    assert.deepEqual(startsIn(bench.commands), []);
    list(bench, SMALLER);
    assert.deepEqual(startsIn(bench.commands), []);
    list(bench, SAME_KIND);
    assert.equal(startsIn(bench.commands).length, 4);
  });

  it("gets no start that had not left", () => {
    const bench = createBenchWith();
    submit(bench, "a", [step({ requiredLabel: "a" })]);
    bench.commands = [];
    reportFrom(bench, "w1", { bornMs: 2, unansweredStarts: [] });
    assert.deepEqual(stopsIn(bench.commands).map(({ task }) => task), [
      "a.0.0.0",
    ]);
  });

  it("is not named in an advice request", () => {
    const bench = createBenchWith();
    reportFrom(bench, "w1", { bornMs: 2 });
    submit(bench, "a", [step()], { advice: ADVICE });
    assert.equal(takeRequest(bench), undefined);
    list(bench, SAME_KIND);
    assert.deepEqual(takeRequest(bench), ["w1"]);
  });

  it("does not drain because its former incarnation did", () => {
    const bench = createBenchWith({ ...FIRST, draining: true });
    reportFrom(bench, "w1", { bornMs: 2 });
    submit(bench, "a", [step()]);
    assert.deepEqual([...bench.domain.startPermits.keys()], ["w1"]);
    tick(bench, 100);
    assert.deepEqual([...bench.domain.startPermits.values()], [
      { bornMs: 2, revision: 1, phase: "granted" },
    ]);
    list(bench, SAME_KIND);
    assert.equal(startsIn(bench.commands).length, 1);
  });
});

// Guards against starts of the new incarnation by what was learned of the former
// one: its tickets, its allocations, its start permit.
describe("a worker whose entry comes before its first report", () => {
  it("gets no start by a ticket of its former incarnation", () => {
    const bench = createBenchWith();
    occupy(bench);
    submit(bench, "a", [step()], { advice: ADVICE });
    allow(bench, "a.0.0", "former");
    const capacity = { ...WHOLE_WORKER, cpuMillis: 16_000, memoryMb: 16_000 };
    list(bench, { ...SAME_KIND, capacity });
    assert.deepEqual(startsIn(bench.commands), []);
    bench.nowMs += 1_000;
    reportFrom(bench, "w1", { bornMs: 2 });
    assert.deepEqual(startsIn(bench.commands).map(({ task }) => task), [
      "x.0.0.0",
    ]);
    assert.deepEqual(takeRequest(bench), ["w1"]);
    allow(bench, "a.0.0", "present");
    assert.deepEqual(startsIn(bench.commands).map(({ ticket }) => ticket), [
      undefined,
      "present",
    ]);
  });

  it("gets no start before it has reported", () => {
    const bench = createBenchWith();
    list(bench, SAME_KIND);
    submit(bench, "a", [step()]);
    reportFrom(bench, "w1", { bornMs: 1 });
    assert.deepEqual(startsIn(bench.commands), []);
    reportFrom(bench, "w1", { bornMs: 2 });
    assert.equal(startsIn(bench.commands).length, 1);
  });

  it("has its whole capacity free once it reports that it runs nothing", () => {
    const bench = createBenchWith();
    occupy(bench);
    submit(bench, "a", [step({ taskCount: 3 })]);
    list(bench, SMALLER);
    assert.deepEqual(startsIn(bench.commands), []);
    bench.nowMs += 1_000;
    reportFrom(bench, "w1", { bornMs: 2 });
    assert.deepEqual(startsIn(bench.commands).map(({ task }) => task), [
      "a.0.0.0",
      "a.0.0.1",
    ]);
  });

  it("is not covered by the permit of its former incarnation", () => {
    const bench = createBenchWith();
    submit(bench, "x", [step({ demand: WHOLE_WORKER })]);
    submit(bench, "a", [step({ demand: WHOLE_WORKER })]);
    const [order] = startsIn(feedUncommitted(bench, {
      kind: "looked",
      worker: "w1",
      look: {
        bornMs: 1,
        running: [],
        ended: [ended(1, "x.0.0.0", 1, "done")],
        sentAtMs: 0,
      },
    }));
    assert.ok(mayPrecedeCommit(bench.domain, order!));
    const workers = [listing("w1", SAME_KIND)];
    feedUncommitted(bench, { kind: "workersListed", workers });
    assert.ok(!mayPrecedeCommit(bench.domain, order!));
  });

  it("gets no start that had not left if it is of another kind", () => {
    const bench = createBenchWith();
    submit(bench, "a", [step({ requiredLabel: "a" })]);
    submit(bench, "b", [step()]);
    bench.commands = [];
    list(bench, OTHER_KIND);
    assert.deepEqual(stopsIn(bench.commands).map(({ task }) => task), [
      "a.0.0.0",
    ]);
    reportFrom(bench, "w1", { bornMs: 2, unansweredStarts: [] });
    assert.equal(stopsIn(bench.commands).length, 1);
  });

  it("gets none of the starts in flight if it has no room for all", () => {
    const bench = createBenchWith();
    submit(bench, "a", [step({ taskCount: 4 })]);
    bench.commands = [];
    list(bench, SMALLER);
    assert.equal(stopsIn(bench.commands).length, 4);
  });

  it("may have crashed before, although it drains when it leaves", () => {
    const bench = createBenchWith();
    submit(bench, "a", [step()]);
    feedEvent(bench, { kind: "workerLapsed", worker: "w1" });
    list(bench, { ...SAME_KIND, draining: true });
    feedEvent(bench, { kind: "workersListed", workers: [] });
    assert.deepEqual([...bench.domain.departedWorkers.keys()], ["w1"]);
  });

  it("gets no start that had not left and needs another ticket", () => {
    const bench = createBenchWith();
    submit(bench, "a", [step()], { advice: ADVICE });
    takeRequest(bench);
    allow(bench, "a.0.0", "former");
    assert.equal(startsIn(bench.commands).length, 1);
    list(bench, SAME_KIND);
    assert.equal(stopsIn(bench.commands).length, 1);
  });
});

// Guards against ROUTE: an entry that the former incarnation wrote takes effect
// after that of the present one.
describe("an entry of an earlier incarnation that comes late", () => {
  it("does not replace that of a later one", () => {
    const bench = createBenchWith({ ...OTHER_KIND });
    reportFrom(bench, "w1", { bornMs: 2 });
    list(bench, { ...FIRST, draining: true });
    submit(bench, "a", [step({ requiredLabel: "a" })]);
    submit(bench, "b", [step({ requiredLabel: "b" })]);
    assert.deepEqual(startsIn(bench.commands).map(({ task }) => task), [
      "b.0.0.0",
    ]);
  });

  it("stops no start of the later one by the earlier capacity", () => {
    const bench = createBenchWith({ bornMs: 2 });
    reportFrom(bench, "w1", { bornMs: 2 });
    submit(bench, "a", [step({ taskCount: 8 })]);
    list(bench, { ...SMALLER, bornMs: 1 });
    assert.deepEqual(stopsIn(bench.commands), []);
  });
});

// Guards against workers that are never used: not every worker names its
// incarnation.
describe("a worker that does not name its incarnation", () => {
  for (
    const [place, entryBornMs, reportBornMs] of [
      ["in its entry", 0, 7],
      ["in its reports", 7, 0],
      ["anywhere", 0, 0],
    ] as const
  ) {
    it(`gets starts if it is missing ${place}`, () => {
      const bench = createBench();
      list(bench, { bornMs: entryBornMs });
      reportFrom(bench, "w1", { bornMs: reportBornMs });
      submit(bench, "a", [step()]);
      assert.equal(startsIn(bench.commands).length, 1);
    });
  }
});

// Guards against LOST: a worker whose time of day was set back while it was down
// gets no start any more.
it("a worker is used again if its start time is before that of its former incarnation", () => {
  const bench = createBench();
  listWorkers(bench, listing("w1", { bornMs: 2_000 }));
  reportFrom(bench, "w1", { bornMs: 1_000 });
  submit(bench, "a", [step()]);
  assert.deepEqual(startsIn(bench.commands), []);
  const workers = [listing("w1", { bornMs: 1_000 })];
  feedEvent(bench, { kind: "workersListed", workers });
  assert.equal(startsIn(bench.commands).length, 1);
});
