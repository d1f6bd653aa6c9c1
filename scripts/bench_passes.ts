/**
 * Command line of the benchmark of passes:
 * `npm run bench:passes -- --workers 350`.
 *
 * @module
 */
import { defineCommand, runMain } from "citty";
import { benchPasses } from "../stand_ins/owner_bench/bench_passes.ts";

const BACKLOGS = [0, 250, 500, 1_000, 2_000];
const UNSETTLED_COUNTS = [0, 30];

const command = defineCommand({
  meta: {
    name: "bench:passes",
    description: "Measures the processor time of passes over a backlog",
  },
  args: {
    workers: {
      type: "string",
      default: "350",
      description: "Number of workers",
    },
  },
  run({ args }) {
    const workers = Number(args.workers);
    for (const backlog of BACKLOGS) {
      print({ workers, backlog, isRestored: false, unsettled: 0 });
      for (const unsettled of UNSETTLED_COUNTS) {
        print({ workers, backlog, isRestored: true, unsettled });
      }
    }
  },
});

function print(options: Parameters<typeof benchPasses>[0]): void {
  const cost = Object.entries(benchPasses(options))
    .map(([name, ms]) => [name, Math.round(ms * 100) / 100]);
  console.log(JSON.stringify({ ...options, ...Object.fromEntries(cost) }));
}

await runMain(command);
