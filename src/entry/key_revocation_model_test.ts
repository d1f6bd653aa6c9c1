import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type LeftOut,
  simulateRevocations,
} from "./testing/key_revocation_model.ts";

const RUNS = 10_000;
/** Runs within which a rule that lacks a part is found. */
const RUNS_UNTIL_FOUND = 2_000;

const PARTS: LeftOut[] = [
  "own age",
  "suspension",
  "clock set back",
  "age of the peer",
  "round trip",
  "unreadable version",
  "age at an unknown key",
];

// Guards against calls with a key that was revoked longer ago than the bound, and
// against the refusal of a key that was added longer ago than its bound: the
// instance has not read the version, was suspended, or trusts a peer too much.
describe("keys that are revoked and added", () => {
  it(`are accepted and refused within the bounds in ${RUNS} runs`, () => {
    let accepted = 0;
    for (let seed = 1; seed <= RUNS; seed++) {
      const run = simulateRevocations(seed);
      assert.deepEqual(run.violations, [], `seed ${seed}`);
      accepted += run.accepted;
    }
    // Refusing every call would keep the bounds, too.
    assert.ok(accepted > RUNS, `${accepted} calls were accepted`);
  });

  for (const part of PARTS) {
    it(`break a bound where the rule lacks: ${part}`, () => {
      const seeds = Array.from({ length: RUNS_UNTIL_FOUND }, (_, seed) => seed);
      assert.ok(
        seeds.some((seed) =>
          simulateRevocations(seed + 1, part).violations.length > 0
        ),
      );
    });
  }
});
