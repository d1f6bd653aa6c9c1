import assert from "node:assert/strict";
import { it } from "node:test";
import { runModel } from "./testing/owner_model.ts";

const SEEDS = 400;

it(`preserves its invariants over changing owners, ${SEEDS} seeds`, () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    assert.deepEqual(runModel(seed), [], `seed ${seed}`);
  }
});
