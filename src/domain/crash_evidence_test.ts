import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  evidenceOfCrash,
  SUFFICIENT_EVIDENCE,
  survivalProbability,
} from "./crash_evidence.ts";
import {
  countCrash,
  crashProbability,
  createCrashRates,
  expectedCrashesPerS,
  observeWorkers,
} from "./crash_rates.ts";
import { createBench, listing, listWorkers } from "./testing/domain_bench.ts";

describe("the evidence that a task crashes its workers", () => {
  it("is the larger, the less probable the crash was without it", () => {
    assert.equal(evidenceOfCrash(1, 1), -0);
    assert.ok(evidenceOfCrash(0.001, 1) > evidenceOfCrash(0.1, 1));
    const [calm, ...crashing] = [0.001, 0.2, 0.3].map((probability) =>
      2 * evidenceOfCrash(probability, 1)
    );
    assert.ok(calm! >= SUFFICIENT_EVIDENCE);
    for (const sum of crashing) assert.ok(sum < SUFFICIENT_EVIDENCE);
  });

  it("is small if another task has probably caused the crash", () => {
    const alone = evidenceOfCrash(0.001, 1);
    const besideOthers = evidenceOfCrash(0.001, survivalProbability(0) ** 2);
    const besideSuspect = evidenceOfCrash(0.001, survivalProbability(alone));
    assert.ok(alone > besideOthers && besideOthers > besideSuspect);
    assert.ok(besideSuspect < 0.5);
  });
});

describe("the rate at which workers crash by themselves", () => {
  const WORKERS = ["w1", "w2", "w3", "w4"];

  function observe(crashesOf: Record<string, number>) {
    const { domain } = createBench();
    const bench = { ...createBench(), domain };
    listWorkers(bench, ...WORKERS.map((id) => listing(id)));
    domain.crashRates = createCrashRates();
    for (let second = 0; second <= 100; second += 1) {
      const moment = { steadyMs: second * 1_000, wallMs: 0 };
      observeWorkers(domain, moment);
      for (const [worker, count] of Object.entries(crashesOf)) {
        if (second < count) countCrash(domain, worker, moment);
      }
    }
    return domain;
  }

  it("is unknown at first", () => {
    const { domain } = createBench();
    assert.equal(expectedCrashesPerS(domain, "w1"), Infinity);
    assert.equal(crashProbability(domain, "w1", 1_000), 1);
  });

  it("is small if none crashes", () => {
    assert.ok(expectedCrashesPerS(observe({}), "w1") < 0.01);
  });

  it("is that of the worker, and at least that of all", () => {
    const domain = observe({ w1: 20 });
    const [own, other] = ["w1", "w2"].map((id) =>
      expectedCrashesPerS(domain, id)
    );
    assert.ok(own! > 2 * other!, `${own} ${other}`);
    assert.ok(other! > expectedCrashesPerS(observe({}), "w2"));
  });

  it("forgets what was seen long ago", () => {
    const domain = observe({ w1: 20 });
    const before = expectedCrashesPerS(domain, "w1");
    for (let second = 101; second < 600; second += 1) {
      observeWorkers(domain, { steadyMs: second * 1_000, wallMs: 0 });
    }
    assert.ok(expectedCrashesPerS(domain, "w1") < before / 5);
  });
});
