import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  admit,
  backoffDelayMs,
  createAdmission,
  createRetryBudget,
  HOP_ALLOWANCE_MS,
  propagatedTimeoutMs,
  recordFirstAttempt,
  releaseAdmitted,
  spendRetry,
} from "./mod.ts";

const SEED = 20_253;

test("retry budget: retries stay a fixed fraction of the first attempts", () => {
  const budget = createRetryBudget(
    { retriesPerAttempt: 0.1, retriesPerSecond: 0, maxTokens: 10 },
    0,
  );
  let retries = 0;
  for (let attempt = 0; attempt < 1_000; attempt++) {
    recordFirstAttempt(budget);
    for (let failure = 0; failure < 5; failure++) {
      if (spendRetry(budget, attempt)) retries += 1;
    }
  }
  assert.ok(retries <= 0.1 * 1_000 + 10, `${retries} retries`);
  assert.ok(retries >= 0.1 * 1_000, `${retries} retries`);
});

test("retry budget: elapsed time adds retries, a clock that goes back does not", () => {
  const budget = createRetryBudget(
    { retriesPerAttempt: 0, retriesPerSecond: 1, maxTokens: 2 },
    0,
  );
  assert.deepEqual([1, 2, 3].map(() => spendRetry(budget, 0)), [
    true,
    true,
    false,
  ]);
  assert.ok(spendRetry(budget, 1_000));
  assert.equal(spendRetry(budget, 500), false);
  assert.equal(spendRetry(budget, 1_000), false);
});

test("backoff: delays double up to the maximum and have jitter", () => {
  const options = { firstMs: 100, maxMs: 5_000 };
  const low = { integer: (least: number) => least };
  const high = { integer: (_: number, most: number) => most };
  const retries = [1, 2, 3, 7, 1_000];
  assert.deepEqual(retries.map((n) => backoffDelayMs(options, n, high)), [
    100,
    200,
    400,
    5_000,
    5_000,
  ]);
  assert.deepEqual(retries.map((n) => backoffDelayMs(options, n, low)), [
    50,
    100,
    200,
    2_500,
    2_500,
  ]);
});

test("deadline: each hop reserves its allowance, and an expired deadline is not propagated", () => {
  assert.equal(propagatedTimeoutMs(1_000, 0), 1_000 - HOP_ALLOWANCE_MS);
  assert.equal(propagatedTimeoutMs(1_000, 1_000 - HOP_ALLOWANCE_MS), undefined);
  assert.equal(propagatedTimeoutMs(1_000, 2_000), undefined);
});

test("admission: work of the largest holder is shed for a customer with less", () => {
  const admission = createAdmission({ capacity: 10, customerCapacity: 10 });
  for (let n = 0; n < 10; n++) admit(admission, "heavy", 1);
  assert.deepEqual(admit(admission, "heavy", 1), { kind: "refused" });
  assert.deepEqual(admit(admission, "light", 2), {
    kind: "admitted",
    shed: [{ customer: "heavy", units: 2 }],
  });
  assert.deepEqual(admit(admission, "light", 4), { kind: "refused" });
  releaseAdmitted(admission, "heavy", 3);
  assert.deepEqual(admit(admission, "light", 3), {
    kind: "admitted",
    shed: [],
  });
});

test("admission: a customer within its equal share is neither refused nor shed", () => {
  const customers = ["a", "b", "c", "within-share"];
  const capacity = 40;
  const equalShare = capacity / customers.length;
  const steps = fc.array(
    fc.record({
      customer: fc.constantFrom(...customers),
      units: fc.integer({ min: 1, max: 15 }),
      isRelease: fc.boolean(),
    }),
    { maxLength: 200 },
  );
  fc.assert(
    fc.property(steps, (list) => {
      const admission = createAdmission({ capacity, customerCapacity: 30 });
      for (const { customer, units, isRelease } of list) {
        const waitingUnits = admission.waiting.get(customer) ?? 0;
        if (isRelease) {
          releaseAdmitted(admission, customer, units);
          continue;
        }
        const isWithinShare = customer === "within-share";
        const requestedUnits = isWithinShare
          ? Math.min(units, equalShare - waitingUnits)
          : units;
        if (requestedUnits === 0) continue;
        const decision = admit(admission, customer, requestedUnits);
        if (isWithinShare) assert.equal(decision.kind, "admitted");
        if (decision.kind === "admitted") {
          assert.ok(
            decision.shed.every((work) => work.customer !== "within-share"),
          );
        }
        const total = [...admission.waiting.values()].reduce(
          (a, b) => a + b,
          0,
        );
        assert.equal(total, admission.total);
        assert.ok(total <= capacity);
      }
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});
