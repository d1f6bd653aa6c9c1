/**
 * Command line of the benchmark of learned effects:
 * `npm run bench:interference -- --seeds 10`.
 *
 * @module
 */
import { defineCommand, runMain } from "citty";
import { benchInterference } from "../stand_ins/owner_bench/bench_interference.ts";

const command = defineCommand({
  meta: {
    name: "bench:interference",
    description: "Compares an owner that learns what slows services with none",
  },
  args: {
    seeds: { type: "string", default: "10", description: "Number of seeds" },
    seconds: { type: "string", default: "120", description: "Length of each" },
  },
  run({ args }) {
    const seconds = Number(args.seconds);
    for (let seed = 1; seed <= Number(args.seeds); seed += 1) {
      for (const isLearning of [false, true]) {
        const figures = benchInterference({ seed, seconds, isLearning });
        const rounded = Object.entries(figures)
          .map(([name, value]) => [name, Math.round(value * 100) / 100]);
        const shown = { seed, isLearning, ...Object.fromEntries(rounded) };
        console.log(JSON.stringify(shown));
      }
    }
  },
});

await runMain(command);
