import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { it } from "node:test";

const PROGRAM = `
  import { logUncaughtErrors } from "${new URL(
  "./log_uncaught_errors.js",
  import.meta.url,
)}";
  const log = (message, { cause }) =>
    console.log(message, cause.split("\\n")[0]);
  const ending = new AbortController();
  logUncaughtErrors({ error: log }, { count() {} }, ending.signal);
  Promise.reject(new Error("rejected"));
  setTimeout(() => { throw new Error("thrown"); }, 1);
  setTimeout(() => console.log("still serving"), 20);
`;

it("uncaught errors are logged, and the process keeps running", () => {
  const done = spawnSync(
    process.execPath,
    ["--input-type=module", "--eval", PROGRAM],
    { encoding: "utf8" },
  );
  assert.equal(done.status, 0, done.stderr);
  assert.deepEqual(done.stdout.trim().split("\n"), [
    "Caught an unexpected error. Error: rejected",
    "Caught an unexpected error. Error: thrown",
    "still serving",
  ]);
});
