/**
 * Runs the benchmarks and prints their table.
 *
 * @module
 */
import process from "node:process";
import { createCoreScheduler } from "./core_scheduler.ts";
import { cooperative, designSize, press } from "./deployment.ts";
import { runLoad } from "./load_run.ts";
import { createRandomness } from "./random.ts";

const only = process.argv[2];
for (const make of [press, cooperative, designSize]) {
  for (const load of [0.5, 0.8, 0.95, 1.2]) {
    const deployment = make();
    if (only !== undefined && deployment.name !== only) continue;
    const from = performance.now();
    const t = runLoad({
      deployment,
      load,
      seed: 7,
      faults: true,
      createScheduler: (r) => createCoreScheduler("waiting", r),
      createRandomness,
    });
    console.log(
      deployment.name,
      load,
      Math.round(performance.now() - from),
      "ms",
      JSON.stringify({
        ...t,
        waits: undefined,
        cpuInUse: t.cpuInUse / t.samples,
        acceleratorsInUse: t.acceleratorsInUse / t.samples,
        overused: t.overused / t.samples,
      }),
    );
    for (const [name, h] of t.waits) {
      console.log(
        "  ",
        name.padEnd(14),
        h.totalCount,
        [50, 99, 99.9].map((p) => (h.getValueAtPercentile(p) / 1000).toFixed(1))
          .join(" "),
      );
    }
  }
}
