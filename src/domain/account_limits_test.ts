import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Resources } from "../model/mod.ts";
import { sumPossibleAllocations } from "./account_limits.ts";
import { explainWaits } from "./explain_wait.ts";
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
  simulateTakeover,
  startsIn,
  step,
  submit,
  tick,
} from "./testing/domain_bench.ts";

const ACCOUNT = { clientAccount: "north" };
const WIDE = listing("w1", {
  capacity: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8 },
});

function cores(count: number): Resources {
  return {
    cpuMillis: count * 1_000,
    memoryMb: Infinity,
    accelerators: Infinity,
  };
}

/** A domain in which an account has a cap, and a limit below it. */
function createLimitedBench(limit: number): DomainBench {
  const bench = createBench();
  configure(bench, limit);
  listWorkers(bench, WIDE);
  return bench;
}

function configure(bench: DomainBench, limit: number): void {
  const cap = { cpuMillis: 16_000, memoryMb: 0, accelerators: 0 };
  feedEvent(bench, {
    kind: "accountsConfigured",
    accounts: [{ name: "north", keys: [], priority: 0, weight: 0, cap }],
  });
  setLimit(bench, limit);
}

function setLimit(bench: DomainBench, limit: number): string[] {
  const commands = feedEvent(bench, {
    kind: "accountLimitsSet",
    limits: [["north", cores(limit)]],
  });
  return startsIn(commands).map(({ task }) => task);
}

function allocatedCores(bench: DomainBench): number {
  const sums = sumPossibleAllocations(bench.domain);
  return (sums.get("north")?.cpuMillis ?? 0) / 1_000;
}

/** Ten seconds of gangs that never fit; returns what starts meanwhile. */
function playWideSteps(bench: DomainBench, submitOther: () => void): string[] {
  const gang = step({ taskCount: 12, gang: true, estimateMs: 500 });
  const first = bench.commands.length;
  for (let count = 0; count < 20; count += 1) {
    const urgent = { ...ACCOUNT, priority: 1 };
    submit(bench, `wide-${count}`, [gang], urgent);
    if (count === 0) submitOther();
    tick(bench, 500);
  }
  return startsIn(bench.commands.slice(first)).map(({ task }) => task);
}

describe("a burst of an account that is at its limit", () => {
  it("starts only what fits, and does not block other accounts", () => {
    const bench = createLimitedBench(4);
    submit(bench, "hot", [step({ taskCount: 10 })], ACCOUNT);
    assert.equal(allocatedCores(bench), 4);
    const others = submit(bench, "calm", [step({ taskCount: 3 })]);
    assert.equal(startsIn(others).length, 3);
    assert.equal(
      bench.domain.accountWaits.get("north")?.total.cpuMillis,
      6_000,
    );
    const [report] = explainWaits(
      bench.domain,
      { steadyMs: 0, wallMs: 0 },
      1,
    );
    assert.equal(report?.capped, 1);
  });

  it("goes on when a task has ended, not when its stop was ordered", () => {
    const bench = createLimitedBench(2);
    const [first] = startsIn(
      submit(bench, "a", [step({ taskCount: 2 })], ACCOUNT),
    );
    submit(bench, "b", [step({ taskCount: 2 })], ACCOUNT);
    const tasks = ["a.0.0.0", "a.0.0.1"].map((task) =>
      running(task, first!.attempt)
    );
    reportFrom(bench, "w1", { running: tasks });
    assert.deepEqual(startsIn(cancel(bench, "a")), []);
    const commands = reportFrom(bench, "w1", {
      running: tasks.slice(1),
      ended: [ended(1, "a.0.0.0", first!.attempt, "stopped")],
    });
    assert.equal(startsIn(commands).length, 1);
    assert.equal(allocatedCores(bench), 2);
  });

  it("counts the processor time of opportunistic tasks", () => {
    const bench = createLimitedBench(3);
    const spare = step({ taskCount: 5, opportunistic: true });
    assert.equal(startsIn(submit(bench, "a", [spare], ACCOUNT)).length, 3);
  });
});

describe("a wide step of an account at its limit", () => {
  it("starts as a gang at once or not at all", () => {
    const bench = createLimitedBench(6);
    const gang = step({ taskCount: 8, gang: true });
    assert.deepEqual(startsIn(submit(bench, "g", [gang], ACCOUNT)), []);
    assert.equal(
      bench.domain.accountWaits.get("north")?.atOnce.cpuMillis,
      8_000,
    );
    assert.equal(setLimit(bench, 8).length, 8);
  });

  it("is not starved by small ones behind it, and lets them pass later", () => {
    const bench = createLimitedBench(6);
    submit(bench, "g", [step({ taskCount: 8, gang: true })], {
      ...ACCOUNT,
      priority: 0,
    });
    const small = submit(bench, "s", [step()], { ...ACCOUNT, priority: 1 });
    assert.deepEqual(startsIn(small), []);
    assert.equal(startsIn(tick(bench, 2_000)).length, 1);
  });

  // Guards against two wide steps that take turns in holding the others back.
  it("lets small ones pass while another wide step waits", () => {
    const bench = createLimitedBench(6);
    const gang = step({ taskCount: 8, gang: true });
    submit(bench, "g", [gang], { ...ACCOUNT, priority: 0 });
    bench.nowMs += 2_000;
    submit(bench, "h", [gang], { ...ACCOUNT, priority: 0 });
    const small = submit(bench, "s", [step()], { ...ACCOUNT, priority: 1 });
    assert.equal(startsIn(small).length, 1);
  });

  // Guards against a hold that begins anew with each wide step: while they have
  // less slack than a hold lasts, the first one is always a fresh one.
  it("lets small ones pass though new wide steps come all the time", () => {
    const bench = createLimitedBench(16);
    submit(bench, "base", [step({ taskCount: 6 })], ACCOUNT);
    const starts = playWideSteps(bench, () => {
      submit(bench, "small", [step()], { ...ACCOUNT, priority: 2 });
    });
    assert.ok(starts.includes("small.0.0.0"), starts.join(" "));
  });

  it("asks for less than it needs while it lets others pass", () => {
    const bench = createLimitedBench(0);
    submit(bench, "g", [step({ taskCount: 8, gang: true })], ACCOUNT);
    submit(bench, "s", [step()], { ...ACCOUNT, priority: 1 });
    const wait = () => bench.domain.accountWaits.get("north");
    assert.equal(wait()?.atOnce.cpuMillis, 8_000);
    tick(bench, 2_000);
    assert.equal(wait()?.atOnce.cpuMillis, 1_000);
    assert.equal(wait()?.total.cpuMillis, 9_000);
    tick(bench, 2_000);
    assert.equal(wait()?.atOnce.cpuMillis, 8_000);
  });

  it("then asks for the least share of the cap, of whatever resource", () => {
    const bench = createLimitedBench(0);
    submit(bench, "g", [step({ taskCount: 8, gang: true })], ACCOUNT);
    const demand = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 1 };
    submit(bench, "s", [step({ demand })], { ...ACCOUNT, priority: 1 });
    tick(bench, 2_000);
    assert.deepEqual(bench.domain.accountWaits.get("north")?.atOnce, demand);
  });

  // LOST holds for each task that lasts while its account has under half of its
  // cap: it may not stand still for the turns of others.
  it("never holds a step that runs until it is cancelled", () => {
    const bench = createLimitedBench(6);
    submit(bench, "g", [step({ taskCount: 8, gang: true })], {
      ...ACCOUNT,
      priority: 0,
    });
    const lasting = step({ longRunning: true, taskCount: 7 });
    const starts = submit(bench, "l", [lasting], { ...ACCOUNT, priority: 1 });
    assert.equal(startsIn(starts).length, 6);
  });

  it("does not hold others if it exceeds the cap", () => {
    const bench = createLimitedBench(16);
    submit(bench, "g", [step({ taskCount: 17, gang: true })], ACCOUNT);
    assert.equal(bench.domain.accountWaits.size, 0);
    assert.equal(startsIn(submit(bench, "s", [step()], ACCOUNT)).length, 1);
  });
});

describe("an owner without a confirmed limit", () => {
  it("starts nothing under a cap, and all else", () => {
    const bench = createLimitedBench(4);
    feedEvent(bench, { kind: "configurationObserved", isStale: true });
    assert.deepEqual(startsIn(submit(bench, "a", [step()], ACCOUNT)), []);
    assert.equal(startsIn(submit(bench, "b", [step()])).length, 1);
    const unknown = { clientAccount: "south" };
    assert.deepEqual(startsIn(submit(bench, "c", [step()], unknown)), []);
    const commands = feedEvent(bench, {
      kind: "configurationObserved",
      isStale: false,
    });
    assert.equal(startsIn(commands).length, 2);
  });

  // After a takeover, the owner before may have started tasks whose records
  // were not stored: at most the demand that it knew, on workers of a capacity.
  it("counts what may run unrecorded until its workers have reported", () => {
    const bench = createLimitedBench(16);
    submit(bench, "a", [step({ taskCount: 3 })], ACCOUNT);
    submit(bench, "b", [step({ taskCount: 20 })], ACCOUNT);
    simulateTakeover(bench);
    assert.equal(bench.domain.unsettledWorkers.size, 1);
    configure(bench, 16);
    const before = allocatedCores(bench);
    assert.ok(before >= 16, `${before} cores may run`);
    reportFrom(bench, "w1", {});
    assert.equal(bench.domain.unsettledWorkers.size, 0);
    assert.ok(allocatedCores(bench) <= 16);
  });

  it("bounds them by the capacity of the workers without a report", () => {
    const bench = createLimitedBench(16);
    const small = listing("w2", {
      capacity: { cpuMillis: 2_000, memoryMb: 64_000, accelerators: 0 },
    });
    listWorkers(bench, WIDE, small);
    submit(bench, "a", [step({ taskCount: 40 })], ACCOUNT);
    simulateTakeover(bench);
    feedEvent(bench, { kind: "workersListed", workers: [WIDE, small] });
    const recorded = bench.domain.allocatedByAccount.get("north")!.cpuMillis;
    reportFrom(bench, "w1", {});
    assert.deepEqual([...bench.domain.unsettledWorkers], ["w2"]);
    assert.ok(allocatedCores(bench) * 1_000 <= recorded + 2_000);
  });
});
