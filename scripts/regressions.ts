/**
 * Scores the reference deployments with the users' benchmark, and prints each
 * simulated day next to its last score in the journal:
 * `npm run regressions -- --kit PATH_OF_THE_SYSTEM_PAGES`.
 * Run it in a clone that is not edited meanwhile and is not located under the
 * folder for temporary files. It is not part of CI.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { defineCommand, runMain } from "citty";
import * as v from "valibot";
import { compareStrings, parseAs } from "../src/base/mod.ts";

const JOURNAL = "journal";
const BENCH_PROGRAM = "more/bench-d17393/bin/fleetbench";
/** The large deployment replaces the oldest one, under `sites/`. */
const DEPLOYMENTS = [
  "large/uwimana-press-large.toml",
  "further-grown/marcala-peg-grown.toml",
  "further/marcala-peg.toml",
  "grown/gumleaf-hobart-grown.toml",
  "grown/uwimana-press-grown.toml",
];
/** Smaller changes of a day's worth are noise between runs. */
const NOISE_MARGIN = 0.03;

const scoreSchema = v.object({
  cmd: v.literal("score"),
  at: v.array(v.string()),
  site: v.string(),
  figures: v.object({ gate: v.number() }),
  days: v.array(v.object({
    name: v.string(),
    /** Worth of the day: the benchmark's score. */
    G: v.number(),
    rules: v.record(v.string(), v.unknown()),
    fault: v.nullish(v.unknown()),
  })),
});

type Score = v.InferOutput<typeof scoreSchema>;

const command = defineCommand({
  meta: {
    name: "regressions",
    description: "Scores the reference deployments with the users' benchmark",
  },
  args: {
    kit: {
      type: "string",
      required: true,
      description: "Folder of the system's pages, which holds the benchmark",
    },
    jobs: { type: "string", default: "4", description: "Concurrent days" },
    quick: {
      type: "boolean",
      default: false,
      description: "Score only the light days",
    },
    site: {
      type: "string",
      description: "Score only deployments whose path contains this text",
    },
  },
  run({ args }) {
    let hasFailed = false;
    for (
      const site of DEPLOYMENTS.filter((one) => one.includes(args.site ?? ""))
    ) {
      const before = readScores();
      runDeployment(args, site);
      const score = readScores().find((one) => !includesScore(one, before));
      if (score === undefined) {
        console.log(`${site}: no score was added to the journal`);
        hasFailed = true;
        continue;
      }
      hasFailed = printScore(score, before) || hasFailed;
    }
    process.exitCode = hasFailed ? 1 : 0;
  },
});

await runMain(command);

function runDeployment(
  args: { kit: string; jobs: string; quick: boolean },
  site: string,
): void {
  const quickFlag = args.quick ? ["--quick"] : [];
  spawnSync(
    join(args.kit, BENCH_PROGRAM),
    [
      "score",
      join(args.kit, site),
      ...quickFlag,
      "--jobs",
      args.jobs,
      "--why",
      "regressions",
    ],
    { stdio: ["ignore", "inherit", "inherit"] },
  );
}

/** Reads the scores in the journal, the latest first. */
function readScores(): Score[] {
  return readdirSync(JOURNAL)
    .filter((name) => name.endsWith(".json"))
    .sort(compareStrings)
    .reverse()
    .flatMap((name) => {
      const text = readFileSync(join(JOURNAL, name), "utf8");
      const score = parseAs(scoreSchema, text);
      // Entries of other commands have a different shape.
      return score.isOk() ? [score.value] : [];
    });
}

function includesScore(score: Score, scores: Score[]): boolean {
  return scores.some((one) =>
    one.site === score.site && one.at[0] === score.at[0]
  );
}

/**
 * Prints a score next to the previous one.
 *
 * @returns whether the gate failed or a rule was violated
 */
function printScore(score: Score, before: Score[]): boolean {
  const previous = before.find(({ site }) => site === score.site);
  const isPassed = score.figures.gate === 1;
  console.log(`${score.site}: gate ${isPassed ? "passed" : "failed"}`);
  for (const day of score.days) {
    const previousWorth = previous?.days.find(({ name }) => name === day.name)
      ?.G;
    const change = previousWorth === undefined ? 0 : day.G - previousWorth;
    const violatedRules = Object.keys(day.rules);
    const columns = [
      day.name.padEnd(14),
      day.G.toFixed(3),
      previousWorth === undefined ? "" : `before ${previousWorth.toFixed(3)}`,
      change < -NOISE_MARGIN ? "LOWER" : "",
      violatedRules.length === 0 ? "" : `BROKEN ${violatedRules.join(" ")}`,
      day.fault === null || day.fault === undefined ? "" : "FAULT",
    ];
    console.log(`  ${columns.filter((word) => word !== "").join("  ")}`);
  }
  return !isPassed ||
    score.days.some(({ rules }) => Object.keys(rules).length > 0);
}
