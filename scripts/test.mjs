/**
 * Runs the formatter, the linter, the type checker and all tests, in this
 * order, and stops at the first step that fails. Failures of tests listed in
 * KNOWN-RED.txt are printed but do not fail the run. Files that end in
 * `_alone_test.ts` load the machine: they run after all others, one at a time.
 *
 * Arguments limit the run to test files whose path contains one of them.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import process from "node:process";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const TEST_FILE_TIMEOUT_MS = 300_000;
const CONCURRENT_TEST_FILES = 4;
const ALONE_SUFFIX = "_alone_test.js";

const knownFailures = readKnownFailures();
rmSync(join(root, "dist"), { recursive: true, force: true });
runStep("format", "deno", ["fmt", "--check"]);
runStep("lint", "deno", ["lint", "--quiet"]);
runStep("types", "tsc", ["-p", "tsconfig.json"]);
await runTests();

/** Runs a program from the installed packages; exits if it fails. */
function runStep(name, program, argumentList) {
  const result = spawnSync(
    join(root, "node_modules", ".bin", program),
    argumentList,
    { cwd: root, stdio: ["ignore", "inherit", "inherit"] },
  );
  if (result.status !== 0) {
    console.log(`${name}: failed`);
    process.exit(1);
  }
  console.log(`${name}: clean`);
}

async function runTests() {
  const filters = process.argv.slice(2);
  const files = testFiles(join(root, "dist")).filter((file) =>
    filters.length === 0 || filters.some((part) => file.includes(part))
  );
  const isAlone = (file) => file.endsWith(ALONE_SUFFIX);
  const failures = [
    ...await runFiles(files.filter((file) => !isAlone(file)), {
      concurrency: CONCURRENT_TEST_FILES,
    }),
    ...await runFiles(files.filter(isAlone), { concurrency: 1 }),
  ];
  const known = failures.filter((name) => knownFailures.has(name));
  const unknown = failures.filter((name) => !knownFailures.has(name));
  for (const name of known) console.log(`known red: ${name}`);
  for (const name of unknown) console.log(`failed: ${name}`);
  process.exitCode = unknown.length > 0 ? 1 : 0;
}

/** Runs test files; returns the names of the tests that failed. */
async function runFiles(files, { concurrency }) {
  const failures = [];
  if (files.length === 0) return failures;
  const stream = run({ files, concurrency, timeout: TEST_FILE_TIMEOUT_MS });
  stream.on("test:fail", (event) => {
    const isParent = event.details?.error?.failureType === "subtestsFailed";
    if (!isParent) failures.push(event.name);
  });
  stream.compose(new spec()).pipe(process.stdout);
  await new Promise((resolve) => stream.on("end", resolve));
  return failures;
}

/** Lists the compiled test files below a folder, in a fixed order. */
function testFiles(folder) {
  return readdirSync(folder, { recursive: true })
    .filter((name) => name.endsWith("_test.js"))
    .map((name) => relative(process.cwd(), join(folder, name)))
    .sort();
}

/** Reads the names of the tests listed in KNOWN-RED.txt. */
function readKnownFailures() {
  const path = join(root, "KNOWN-RED.txt");
  if (!existsSync(path)) return new Set();
  const lines = readFileSync(path, "utf8").split("\n");
  return new Set(
    lines.filter((line) => line.startsWith("test:"))
      .map((line) => line.slice("test:".length).trim()),
  );
}
