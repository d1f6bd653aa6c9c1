import assert from "node:assert/strict";
import { test } from "node:test";
import { measureDecisions } from "./decisions.ts";
import { cooperative, type Deployment, press } from "./deployment.ts";
import { runLoad } from "./load_run.ts";
import { measurePacking } from "./packing.ts";
import { URGENT_START_BOUND_MS } from "./report.ts";
import {
  baselines,
  costCore,
  idealBound,
  loadRunOptions,
  type Variant,
  waitingCore,
} from "./variant.ts";

const SEED = 11;
const PACKING_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const US_PER_MS = 1000;
/** "Single milliseconds" of added wait in an idle system. */
const IDLE_WAIT_MS = 9;

for (const variant of [waitingCore, costCore]) {
  for (const make of [press, cooperative]) {
    for (const load of [0.5, 1.2]) {
      const deployment = short(make());
      const name = `${variant.name}, ${deployment.name} at ${load}`;
      test(`load: urgent work starts in time: ${name}`, () => {
        const tally = runLoad(loadRunOptions(variant, deployment, load, SEED));
        assert.equal(tally.twice, 0);
        assert.equal(tally.overCapacity, 0);
        for (const { name, urgency } of deployment.work) {
          const waits = tally.waits.get(name);
          if (urgency < 7 || waits === undefined) continue;
          const p999Ms = waits.getValueAtPercentile(99.9) / US_PER_MS;
          assert.ok(p999Ms <= URGENT_START_BOUND_MS, `${name}: ${p999Ms} ms`);
          if (load > 0.5) continue;
          const p50Ms = waits.getValueAtPercentile(50) / US_PER_MS;
          assert.ok(p50Ms <= IDLE_WAIT_MS, `${name}: ${p50Ms} ms`);
        }
      });
    }
  }
}

test("load: the same seed gives the same run", () => {
  const counts = [1, 2].map(() => {
    const options = loadRunOptions(waitingCore, short(press()), 0.95, SEED);
    const { started, ended, commands, failures } = runLoad(options);
    return { started, ended, commands, failures };
  });
  assert.deepEqual(counts[0], counts[1]);
});

test("load: failing workers draw a small part of the starts", () => {
  const options = loadRunOptions(waitingCore, short(press()), 0.8, SEED);
  const { failures, startCommands } = runLoad(options);
  assert.ok(failures < startCommands / 100, `${failures} of ${startCommands}`);
});

test("packing: the cost setting is as tight as any, near the bound", () => {
  for (const make of [press, cooperative]) {
    const cpu = (variant: Variant) =>
      measurePacking(variant, make(), PACKING_SEEDS).cpu;
    const ours = cpu(costCore);
    for (const baseline of baselines) {
      assert.ok(ours >= 0.99 * cpu(baseline), baseline.name);
    }
    assert.ok(ours >= 0.9 * cpu(idealBound));
  }
});

test("packing: the waiting setting strands no accelerator", () => {
  for (const make of [press, cooperative]) {
    const { stranded, cpu } = measurePacking(
      waitingCore,
      make(),
      PACKING_SEEDS,
    );
    assert.equal(stranded, 0);
    assert.ok(
      cpu >= 0.8 * measurePacking(idealBound, make(), PACKING_SEEDS).cpu,
    );
  }
});

test("decisions: every ending starts the next of a long queue", () => {
  const placements = 2_000;
  const { running, queued } = measureDecisions({
    workers: 200,
    queued: 500,
    placements,
    seed: SEED,
  });
  assert.equal(running, 200 * 23);
  assert.equal(queued, 500);
});

/** The deployment with a short run. */
function short(deployment: Deployment): Deployment {
  return { ...deployment, warmUpMs: 30_000, measuredMs: 60_000 };
}
