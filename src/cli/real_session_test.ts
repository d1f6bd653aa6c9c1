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
const TOO_LARGE_SUBMISSION = JSON.stringify({
  agreement: "order-desk",
  work: "proof",
  tasks: [{
    demand: { cpuMillis: 64_000, memoryMb: 4_096, accelerators: 0 },
  }],
});

const ID_PATTERN = /\b[0-9a-f]{16}\b/g;

/** A command line, the user who runs it, and its standard input. */
type CommandLine = {
  as: keyof typeof TOKENS | "operator" | "stranger";
  /** `ID-n` is replaced by the n-th distinct id printed so far, from 1. */
  line: string;
  input?: string;
  /** The output depends on timing; only the exit code is compared. */
  isNondeterministic?: boolean;
};

const COMMAND_LINES: CommandLine[] = [
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
  { as: "order-desk", line: "submit --file -", input: TOO_LARGE_SUBMISSION },
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
  { as: "order-desk", line: "cancel ID-4", isNondeterministic: true },
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
    const lineTranscripts: string[] = [];
    for (const line of COMMAND_LINES) {
      const output = await runLine(line, url, tokens[line.as], ids);
      const compared = line.isNondeterministic === true
        ? output.split("\n").slice(-2).join("\n")
        : output;
      lineTranscripts.push(normalizeTranscript(line, compared, ids));
    }
    assertGolden(
      "src/cli/baselines/real_session.txt",
      lineTranscripts.join("\n"),
    );
  } finally {
    await cluster.close();
  }
});

/** Runs the compiled program and returns its output, errors and exit code. */
async function runLine(
  { line, input }: CommandLine,
  url: string,
  token: string,
  ids: string[],
): Promise<string> {
  const args = line.split(" ").map((word) => resolveIdPlaceholder(word, ids));
  const child = spawn(process.execPath, [PROGRAM, ...args], {
    cwd: repositoryFile("."),
    env: { SAMPHIRESTAGE_URL: url, SAMPHIRESTAGE_TOKEN: token },
  });
  child.stdin.end(input ?? "");
  const [output, errors, exitCode] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    new Promise((resolve) => child.once("close", resolve)),
  ]);
  const markedErrors = errors.replace(/^(?=.)/gm, "! ");
  return `${output}${markedErrors}exit ${exitCode}\n`;
}

function resolveIdPlaceholder(word: string, ids: string[]): string {
  const match = /^ID-([0-9]+)$/.exec(word);
  return match === null ? word : ids[Number(match[1]) - 1] ?? word;
}

/**
 * Replaces ids, incarnations, ports and durations, which differ between runs,
 * with fixed text. Columns whose width depends on an incarnation are collapsed.
 */
function normalizeTranscript(
  { as, line }: CommandLine,
  output: string,
  ids: string[],
): string {
  const normalized = output
    .replace(ID_PATTERN, (id) => {
      if (!ids.includes(id)) ids.push(id);
      return `ID-${ids.indexOf(id) + 1}`;
    })
    .replace(/kigali-1\/[a-z0-9]+/g, "kigali-1/INCARNATION")
    .replace(/(INSTANCE|OWNER|TASK) {2,}/g, "$1  ")
    .replace(/127\.0\.0\.1:[0-9]+/g, "127.0.0.1:8001")
    .replace(/[0-9]+ ms$/gm, "0 ms")
    .replace(/INCARNATION {2,}/g, "INCARNATION  ");
  return `${as}$ samphirestage ${line}\n${normalized}`;
}
