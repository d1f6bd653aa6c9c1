import { spawnSync } from "node:child_process";
import process from "node:process";
import { test } from "node:test";
import { assertGolden, repositoryFile } from "../cli/testing/golden_file.ts";

const DAEMON = "dist/platform/samphirestaged.js";
const FILES = [
  "examples/press/kigali-1.ini",
  "examples/cooperative/hobart-1.ini",
  "src/settings/testing/faulty.ini",
  "missing.ini",
];

test("session: samphirestaged --check reports the faults of settings files", () => {
  const transcript = FILES.map(checkFile).join("\n");
  assertGolden("src/settings/baselines/check.txt", transcript);
});

/** Runs the daemon and returns its command line, output and exit code. */
function checkFile(path: string): string {
  const result = spawnSync(
    process.execPath,
    [repositoryFile(DAEMON), "--check", path],
    { cwd: repositoryFile("."), encoding: "utf8" },
  );
  const errorOutput = result.stderr.replace(/^(?=.)/gm, "! ");
  const command = `$ samphirestaged --check ${path}\n`;
  return `${command}${result.stdout}${errorOutput}exit ${result.status}\n`;
}
