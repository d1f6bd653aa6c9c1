import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runModel } from "./testing/owner_model.ts";

const SEEDS = 400;

it(`preserves its invariants over changing owners, ${SEEDS} seeds`, () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const result = runModel(seed, { hasChangingKinds: false });
    const { violations, unsuitableStarts, attemptCounts } = result;
    assert.deepEqual(
      [...violations, ...unsuitableStarts, ...attemptCounts],
      [],
      `seed ${seed}`,
    );
  }
});

describe("workers that start again as another kind", () => {
  const runs = Array.from({ length: SEEDS }, (_, index) => ({
    seed: index + 1,
    result: undefined as ReturnType<typeof runModel> | undefined,
  }));
  const resultsOf = function* () {
    for (const run of runs) {
      run.result ??= runModel(run.seed, { hasChangingKinds: true });
      yield { seed: run.seed, ...run.result };
    }
  };

  // Guards against ROUTE and LIMIT: starts by the label or the capacity of the
  // former incarnation of a worker.
  it(`get no start that their kind may not run, ${SEEDS} seeds`, () => {
    for (const { seed, unsuitableStarts } of resultsOf()) {
      assert.deepEqual(unsuitableStarts, [], `seed ${seed}`);
    }
  });

  // Guards against tasks that are given up without the attempts that they have,
  // or started more often.
  it(`leave each task its number of attempts, ${SEEDS} seeds`, () => {
    for (const { seed, attemptCounts } of resultsOf()) {
      assert.deepEqual(attemptCounts, [], `seed ${seed}`);
    }
  });

  it(`preserve the other invariants, ${SEEDS} seeds`, () => {
    for (const { seed, violations } of resultsOf()) {
      assert.deepEqual(violations, [], `seed ${seed}`);
    }
  });
});
