import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { it } from "node:test";

const PROGRAM = `
  import { logUncaughtErrors } from "${new URL(
  "./log_uncaught_errors.js",
  import.meta.url,
)}";
  const log = (sentence, { cause }) =>
    console.log(sentence, cause.split("\\n")[0]);
  const ending = new AbortController();
  logUncaughtErrors({ error: log }, { count() {} }, ending.signal);
  Promise.reject(new Error("rejected"));
  setTimeout(() => { throw new Error("thrown"); }, 1);
  setTimeout(() => console.log("still serving"), 20);
`;

it("an error that nobody expected is logged, and the process goes on", () => {
  const done = spawnSync(
    process.execPath,
    ["--input-type=module", "--eval", PROGRAM],
    { encoding: "utf8" },
  );
  assert.equal(done.status, 0, done.stderr);
  assert.deepEqual(done.stdout.trim().split("\n"), [
    "An unexpected error was caught. Error: rejected",
    "An unexpected error was caught. Error: thrown",
    "still serving",
  ]);
});
