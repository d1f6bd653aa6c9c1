/**
 * Plays the deployments that count now on the users' bench, and shows each
 * day beside the last committed play of it:
 * `npm run regressions -- --kit PATH_OF_THE_SYSTEM_PAGES`.
 * Run it in a clone that nobody edits and that does not lie under the folder
 * for temporary files. It is no part of CI.
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
/** The large deployment has taken the place of the oldest, `sites/`. */
const DEPLOYMENTS = [
  "large/uwimana-press-large.toml",
  "further-grown/marcala-peg-grown.toml",
  "further/marcala-peg.toml",
  "grown/gumleaf-hobart-grown.toml",
  "grown/uwimana-press-grown.toml",
];
/** A change of the worth below this is noise. */
const NOISE_MARGIN = 0.03;

const scoreSchema = v.object({
  cmd: v.literal("score"),
  at: v.array(v.string()),
  site: v.string(),
  figures: v.object({ gate: v.number() }),
  days: v.array(v.object({
    name: v.string(),
    /** Worth. */
    G: v.number(),
    rules: v.record(v.string(), v.unknown()),
    fault: v.nullish(v.unknown()),
  })),
});

type Score = v.InferOutput<typeof scoreSchema>;

const command = defineCommand({
  meta: {
    name: "regressions",
    description: "Plays the deployments that count on the users' bench",
  },
  args: {
    kit: { type: "string", required: true, description: "The system's pages" },
    jobs: { type: "string", default: "4", description: "Days at once" },
    quick: { type: "boolean", default: false, description: "The light days" },
    site: { type: "string", description: "Only sites with this in their name" },
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
        console.log(`${site}: no entry was written`);
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

/** The scores of the journal, the latest first. */
function readScores(): Score[] {
  return readdirSync(JOURNAL)
    .filter((name) => name.endsWith(".json"))
    .sort(compareStrings)
    .reverse()
    .flatMap((name) => {
      const text = readFileSync(join(JOURNAL, name), "utf8");
      const score = parseAs(scoreSchema, text);
      // Entries of other verbs have another shape.
      return score.isOk() ? [score.value] : [];
    });
}

function includesScore(score: Score, scores: Score[]): boolean {
  return scores.some((one) =>
    one.site === score.site && one.at[0] === score.at[0]
  );
}

/** Prints a score beside the last one; tells whether something is broken. */
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
