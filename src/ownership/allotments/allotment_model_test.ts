import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomness } from "../../clients/mod.ts";
import { type Omission, runAllotmentModel } from "./testing/allotment_model.ts";

const RUNS = 10_000;
/** Runs after which all work has to start. */
const QUIET_RUNS = 1_000;

/** Returns the seed and the fault of the first run that goes wrong. */
async function findFault(omission?: Omission): Promise<string | undefined> {
  for (let seed = 0; seed < RUNS; seed += 1) {
    const fault = await runAllotmentModel(createRandomness(seed), {
      omission,
      endsQuietly: omission === undefined && seed < QUIET_RUNS,
    });
    if (fault !== undefined) return `seed ${seed}: ${fault}`;
  }
  return undefined;
}

describe("allotments of owners that fail and are superseded", () => {
  it("never exceed the cap, and let all work start in the end", async () => {
    assert.equal(await findFault(), undefined);
  });

  const omissions: Omission[] = [
    "the condition of writes",
    "the epoch in the record",
    "unrecorded starts",
    "tasks that are being stopped",
    "the allotments of other domains",
  ];
  for (const omission of omissions) {
    it(`exceed the cap without ${omission}`, async () => {
      assert.match(await findFault(omission) ?? "none", /runs under/);
    });
  }
});
