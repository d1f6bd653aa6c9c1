/**
 * Command line of the fault soak: `npm run soak -- --seed 1 --seeds 50`.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { defineCommand, runMain } from "citty";
import { regressions } from "./regressions.ts";
import { renderReport } from "./render_report.ts";
import {
  describeRun,
  runSoak,
  type SoakOptions,
  type SoakResult,
} from "./run_soak.ts";

const MS_PER_S = 1_000;

const command = defineCommand({
  meta: {
    name: "soak",
    description: "Runs clusters of real processes with injected faults",
  },
  args: {
    seed: { type: "string", default: "1", description: "The first seed" },
    seeds: { type: "string", default: "1", description: "Number of seeds" },
    seconds: { type: "string", default: "15", description: "Length of a run" },
    callers: {
      type: "string",
      default: "16",
      description: "Number of concurrent callers",
    },
    "restarting-workers": {
      type: "string",
      default: "0",
      description: "Workers that restart, in place of the other faults",
    },
    "uptime-seconds": {
      type: "string",
      default: "5.5",
      description: "Mean time for which a worker that restarts is up",
    },
    "deadly-percent": {
      type: "string",
      default: "0",
      description: "Share of jobs that crash each worker that starts them",
    },
    "owner-kill-seconds": {
      type: "string",
      default: "0",
      description: "Time between two losses of the owner beside restarts",
    },
    regressions: {
      type: "boolean",
      default: false,
      description: "Run the seeds that failed in the past instead",
    },
    out: {
      type: "string",
      default: "target/soak",
      description: "Folder for the report and the logs of failed seeds",
    },
  },
  async run({ args }) {
    mkdirSync(args.out, { recursive: true });
    const results: SoakResult[] = [];
    const runs = args.regressions ? [...regressions] : [...seedRuns(args)];
    const restarts = restartsOf(args);
    for (const { seed, seconds, callers } of runs) {
      const durationMs = seconds * MS_PER_S;
      const result = await runSoak({
        seed,
        durationMs,
        callers,
        ...(restarts === undefined ? {} : { restarts }),
      });
      results.push(result);
      console.log(describeRun(result));
      for (const line of result.violations) console.log(`  ${line}`);
      if (result.violations.length > 0) writeLogs(args.out, result);
    }
    writeFileSync(join(args.out, "report.html"), renderReport(results));
    const failed = results.filter(({ violations }) => violations.length > 0);
    console.log(`soak: ${results.length} seeds, ${failed.length} failed`);
    process.exitCode = failed.length === 0 ? 0 : 1;
  },
});

await runMain(command);

/** Reads how workers restart; undefined for the usual faults. */
function restartsOf(args: {
  "restarting-workers": string;
  "uptime-seconds": string;
  "deadly-percent": string;
  "owner-kill-seconds": string;
}): SoakOptions["restarts"] {
  const workers = Number(args["restarting-workers"]);
  const deadlyPercent = Number(args["deadly-percent"]);
  if (workers === 0 && deadlyPercent === 0) return undefined;
  const intervalMs = Number(args["owner-kill-seconds"]) * MS_PER_S;
  return {
    workers,
    meanUptimeMs: Number(args["uptime-seconds"]) * MS_PER_S,
    deadlyPercent,
    ownerKillIntervalMs: intervalMs === 0 ? undefined : intervalMs,
  };
}

/** Yields the run parameters of each requested seed. */
function* seedRuns(
  args: { seed: string; seeds: string; seconds: string; callers: string },
) {
  const first = Number(args.seed);
  const seconds = Number(args.seconds);
  const callers = Number(args.callers);
  for (let seed = first; seed < first + Number(args.seeds); seed += 1) {
    yield { seed, seconds, callers };
  }
}

/** Writes the violations of a seed, and what its instances have logged. */
function writeLogs(folder: string, result: SoakResult): void {
  const { seed, plan, violations, logs } = result;
  const lines = [...violations, ...plan.map((fault) => JSON.stringify(fault))];
  writeFileSync(join(folder, `${seed}-violations.txt`), lines.join("\n"));
  for (const [instance, text] of logs) {
    writeFileSync(join(folder, `${seed}-${instance}.log`), text);
  }
}
