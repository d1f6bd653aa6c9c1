import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { text } from "node:stream/consumers";
import { test } from "node:test";
import * as v from "valibot";
import { manifestSchema } from "../model/mod.ts";
import { startLocalCluster } from "../../stand_ins/local_cluster/mod.ts";
import type { WorkerConfig } from "../../stand_ins/platform/platform.ts";
import { assertGolden, repositoryFile } from "./testing/golden_file.ts";

const PROGRAM = repositoryFile("dist/src/cli/samphirestage.js");
const MANIFEST = "examples/press/manifest.json";
const TOKENS = {
  "order-desk": "token-of-the-order-desk",
  "funeral-homes": "token-of-the-funeral-homes",
};
const WORKER: WorkerConfig = {
  id: "kigali-desk-1",
  service: "default",
  zone: "kigali",
  rack: "kigali-a",
  capacity: { cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0 },
};
const TOO_LARGE = JSON.stringify({
  agreement: "order-desk",
  work: "proof",
  tasks: [{
    demand: { cpuMillis: 64_000, memoryMb: 4_096, accelerators: 0 },
  }],
});

const ID = /\b[0-9a-f]{16}\b/g;

/** A command line, who types it, and what it reads from standard input. */
type Line = {
  as: keyof typeof TOKENS | "operator" | "stranger";
  /** `ID-n` stands for the id that was printed n-th, from 1. */
  line: string;
  input?: string;
  /** The answer depends on what comes first; only the exit code is kept. */
  isRace?: boolean;
};

const LINES: Line[] = [
  { as: "operator", line: "status" },
  { as: "operator", line: "workers" },
  { as: "operator", line: "manifest in-force" },
  { as: "operator", line: `manifest publish ${MANIFEST}` },
  {
    as: "operator",
    line: `manifest publish ${MANIFEST} --base 7 --change-id build-900`,
  },
  {
    as: "order-desk",
    line: `submit --agreement order-desk --work proof --payload {"runMs":20}`,
  },
  { as: "order-desk", line: "read ID-1" },
  { as: "operator", line: "explain ID-1" },
  { as: "funeral-homes", line: "read ID-1" },
  { as: "funeral-homes", line: "cancel ID-1" },
  { as: "stranger", line: "read ID-1" },
  { as: "order-desk", line: "status" },
  {
    as: "order-desk",
    line: `submit --agreement order-desk --work order --payload {"runMs":20}`,
  },
  {
    as: "order-desk",
    line:
      'submit --agreement order-desk --work proof --id ID-1 --payload {"other":true}',
  },
  { as: "order-desk", line: "submit --agreement wreaths --work proof" },
  { as: "order-desk", line: "submit --agreement order-desk --work wreath" },
  { as: "order-desk", line: "submit --file -", input: TOO_LARGE },
  {
    as: "order-desk",
    line:
      `submit --agreement order-desk --work proof --tasks 3 --key run-1 --payload {"runMs":20}`,
  },
  {
    as: "order-desk",
    line:
      `submit --agreement order-desk --work proof --tasks 3 --key run-1 --payload {"runMs":20}`,
  },
  {
    as: "order-desk",
    line:
      'submit --agreement order-desk --work counter --payload {"runMs":600000} --wait-ms 2000',
  },
  { as: "order-desk", line: "cancel ID-4", isRace: true },
  { as: "order-desk", line: "read ID-4 --wait-ms 20000" },
  { as: "operator", line: "tasks" },
  { as: "operator", line: "explain 00c0ffee00c0ffee" },
  { as: "operator", line: "drain" },
];

test("session: the real programs, from publication to the drain", async () => {
  const cluster = await startLocalCluster({
    region: "rwanda",
    zones: ["kigali"],
    instancesPerZone: 1,
    workers: [WORKER],
    manifest: v.parse(
      manifestSchema,
      JSON.parse(readFileSync(repositoryFile(MANIFEST), "utf8")),
    ),
    customers: TOKENS,
  });
  try {
    const tokens = {
      ...TOKENS,
      operator: cluster.operatorToken,
      stranger: "token-of-a-stranger",
    };
    const url = cluster.instances[0]!.url;
    const ids: string[] = [];
    const parts: string[] = [];
    for (const line of LINES) {
      const output = await runLine(line, url, tokens[line.as], ids);
      const kept = line.isRace === true
        ? output.split("\n").slice(-2).join("\n")
        : output;
      parts.push(showLine(line, kept, ids));
    }
    assertGolden("src/cli/baselines/real_session.txt", parts.join("\n"));
  } finally {
    await cluster.close();
  }
});

/** Runs the real program and returns all that it printed, and its exit code. */
async function runLine(
  { line, input }: Line,
  url: string,
  token: string,
  ids: string[],
): Promise<string> {
  const words = line.split(" ").map((word) => toRealId(word, ids));
  const child = spawn(process.execPath, [PROGRAM, ...words], {
    cwd: repositoryFile("."),
    env: { SAMPHIRESTAGE_URL: url, SAMPHIRESTAGE_TOKEN: token },
  });
  child.stdin.end(input ?? "");
  const [output, errors, exitCode] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    new Promise((resolve) => child.once("close", resolve)),
  ]);
  const marked = errors.replace(/^(?=.)/gm, "! ");
  return `${output}${marked}exit ${exitCode}\n`;
}

function toRealId(word: string, ids: string[]): string {
  const match = /^ID-([0-9]+)$/.exec(word);
  return match === null ? word : ids[Number(match[1]) - 1] ?? word;
}

/**
 * Puts fixed words where each run prints other ids, names and ports. The
 * column of instances is as wide as an incarnation, which varies.
 */
function showLine({ as, line }: Line, output: string, ids: string[]): string {
  const shown = output
    .replace(ID, (id) => {
      if (!ids.includes(id)) ids.push(id);
      return `ID-${ids.indexOf(id) + 1}`;
    })
    .replace(/kigali-1\/[a-z0-9]+/g, "kigali-1/INCARNATION")
    .replace(/(INSTANCE|OWNER|TASK) {2,}/g, "$1  ")
    .replace(/127\.0\.0\.1:[0-9]+/g, "127.0.0.1:8001")
    .replace(/[0-9]+ ms$/gm, "0 ms")
    .replace(/INCARNATION {2,}/g, "INCARNATION  ");
  return `${as}$ samphirestage ${line}\n${shown}`;
}
