import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { explainWaits } from "./explain_wait.ts";
import { countSubmission, purgeAccountRates } from "./account_rate.ts";
import { configureAccounts } from "./testing/account_load.ts";
import {
  createBench,
  type DomainBench,
  feedEvent,
  policy,
  simulateTakeover,
  step,
  submit,
} from "./testing/domain_bench.ts";

function createCounted(weights: Record<string, number>): DomainBench {
  const bench = createBench();
  configureAccounts(bench, weights);
  return bench;
}

/** Counts a number of submissions, and returns how many exceed the rate. */
function countExcess(
  { domain }: DomainBench,
  account: string,
  count: number,
  nowMs: number,
): number {
  let excess = 0;
  for (let index = 0; index < count; index += 1) {
    if (countSubmission(domain, account, nowMs) !== undefined) excess += 1;
  }
  return excess;
}

describe("the rate of a client account", () => {
  it("allows a burst of one second, and then its weight a second", () => {
    const bench = createCounted({ a: 5 });
    assert.equal(countExcess(bench, "a", 8, 0), 3);
    assert.equal(countExcess(bench, "a", 8, 400), 6);
    assert.equal(countExcess(bench, "a", 8, 60_000), 3);
  });

  it("allows at least one submission, however low it is", () => {
    const bench = createCounted({ a: 0.25 });
    assert.equal(countExcess(bench, "a", 2, 0), 1);
    assert.equal(countExcess(bench, "a", 1, 3_000), 1);
    assert.equal(countExcess(bench, "a", 1, 4_000), 0);
  });

  it("is none for accounts without a weight, and for unknown ones", () => {
    const bench = createCounted({ a: 0 });
    assert.equal(countExcess(bench, "a", 100, 0), 0);
    assert.equal(countExcess(bench, "b", 100, 0), 0);
    assert.equal(bench.domain.accountRates.size, 0);
  });

  it("does not count a job again that the domain has", () => {
    const bench = createCounted({ a: 1 });
    for (const id of ["j1", "j1", "j1", "j2"]) {
      submit(bench, id, [step()], { clientAccount: "a" });
    }
    const isBeyond = (id: string) =>
      bench.domain.jobs.get(id)?.job.isBeyondRate;
    assert.equal(isBeyond("j1"), undefined);
    assert.equal(isBeyond("j2"), true);
  });

  it("does not count a job that was cancelled before it arrived", () => {
    const bench = createCounted({ a: 1 });
    feedEvent(bench, { kind: "cancelled", call: 9, job: "j1" });
    submit(bench, "j1", [step()], { clientAccount: "a" });
    submit(bench, "j2", [step()], { clientAccount: "a" });
    assert.equal(bench.domain.jobs.get("j2")?.job.isBeyondRate, undefined);
  });

  // Guards against an account within its rate that is refused after an outage of
  // the store, since its submissions count when they are rejected and repeated.
  it("does not count a job that was withdrawn", () => {
    const bench = createCounted({ a: 1 });
    const clientAccount = "a";
    for (let attempt = 0; attempt < 3; attempt += 1) {
      submit(bench, "j1", [step()], { clientAccount });
      feedEvent(bench, { kind: "withdrawn", job: "j1" });
    }
    submit(bench, "j1", [step()], { clientAccount });
    assert.equal(bench.domain.jobs.get("j1")?.job.isBeyondRate, undefined);
    submit(bench, "j2", [step()], { clientAccount });
    assert.equal(bench.domain.jobs.get("j2")?.job.isBeyondRate, true);
  });

  it("explains why a job beyond it waits", () => {
    const bench = createCounted({ a: 1 });
    submit(bench, "j1", [step()], { clientAccount: "a" });
    submit(bench, "j2", [step()], { clientAccount: "a" });
    const moment = { steadyMs: 0, wallMs: 0 };
    const reports = explainWaits(bench.domain, moment, 2);
    assert.deepEqual(
      reports.map((report) => [report.step, report.beyondRate]),
      [["j1.0.0", undefined], ["j2.0.0", 1]],
    );
    assert.equal("beyondRate" in reports[0]!, false);
  });

  it("is stored with the job that exceeded it", () => {
    const bench = createCounted({ a: 1 });
    submit(bench, "j1", [step()], { clientAccount: "a" });
    submit(bench, "j2", [step()], { clientAccount: "a" });
    simulateTakeover(bench);
    const isBeyond = (id: string) =>
      bench.domain.jobs.get(id)?.job.isBeyondRate;
    assert.deepEqual([isBeyond("j1"), isBeyond("j2")], [undefined, true]);
  });
});

describe("20,000 accounts that all exceed their rates", () => {
  const names = Array.from(
    { length: 20_000 },
    (_, index) => `account-${index}`,
  );

  it("are logged up to a bound, and forgotten once they are calm", () => {
    const weights = Object.fromEntries(names.map((name) => [name, 1]));
    const bench = createCounted(weights);
    for (const name of names) countExcess(bench, name, 2, 0);
    assert.equal(bench.domain.accountRates.size, names.length);
    assert.equal(bench.domain.commands.length, 10);
    purgeAccountRates(bench.domain, 10_000);
    assert.equal(bench.domain.accountRates.size, 0);
    assert.equal(bench.domain.commands.length, 20);
  });

  it("leave no rate behind if a configuration drops them", () => {
    const bench = createCounted({ a: 1, b: 1 });
    countExcess(bench, "a", 1, 0);
    configureAccounts(bench, { b: 1 });
    purgeAccountRates(bench.domain, 100);
    assert.equal(bench.domain.accountRates.size, 0);
  });
});

describe("jobs without a client account", () => {
  it("are never beyond a rate", () => {
    const bench = createCounted({ a: 1 });
    for (const id of ["j1", "j2", "j3"]) submit(bench, id, [step()]);
    for (const { job } of bench.domain.jobs.values()) {
      assert.equal("isBeyondRate" in job, false);
      assert.deepEqual(job.policy, policy());
    }
  });
});
