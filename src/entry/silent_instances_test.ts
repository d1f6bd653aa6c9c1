import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSilentInstances } from "./silent_instances.ts";
import { createManualClock } from "./testing/manual_clock.ts";

const never = new AbortController().signal;

function createTestSetup(gone: string[]) {
  const clock = createManualClock();
  const silent = createSilentInstances(clock);
  return {
    silent,
    /** Checks once a second for a time, and returns what was checked. */
    async check(seconds: number, listed: string[]) {
      const checked: string[][] = [];
      for (let second = 0; second < seconds; second += 1) {
        const instances = silent.nextChecks(listed);
        for (const instance of instances) {
          silent.record(instance, !gone.includes(instance));
        }
        checked.push(instances);
        await clock.sleep(1_000, never);
      }
      return checked;
    },
  };
}

describe("checks of the listed instances", () => {
  // Guards against a list that grows with every replaced instance.
  it("find each instance that does not answer any more", async () => {
    const { silent, check } = createTestSetup(["b", "d"]);
    await check(20, ["a", "b", "c", "d"]);
    assert.deepEqual(silent.gone(), ["b", "d"]);
  });

  it("find no instance that answers again after a few seconds", async () => {
    const gone = ["b"];
    const { silent, check } = createTestSetup(gone);
    await check(8, ["a", "b"]);
    assert.equal(silent.isSilent("b"), true);
    gone.pop();
    await check(8, ["a", "b"]);
    assert.deepEqual(silent.gone(), []);
  });

  it("check one instance at a time while all of them answer", async () => {
    const { check } = createTestSetup([]);
    const checked = await check(4, ["a", "b"]);
    assert.deepEqual(checked, [["a"], ["b"], ["a"], ["b"]]);
  });

  it("forget instances that are not listed any more", async () => {
    const { silent, check } = createTestSetup(["b"]);
    await check(20, ["a", "b"]);
    await check(1, ["a"]);
    assert.deepEqual(silent.gone(), []);
  });
});
