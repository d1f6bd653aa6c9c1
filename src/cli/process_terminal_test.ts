import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import process from "node:process";
import { text } from "node:stream/consumers";
import { test } from "node:test";
import { repositoryFile } from "./testing/golden_file.ts";

test("terminal: a closed output pipe does not fail the command", async () => {
  const program = repositoryFile("dist/src/cli/samphirestage.js");
  const args = ["manifest", "schema"];
  const child = spawn(process.execPath, [program, ...args]);
  const exitCode = new Promise((resolve) => child.once("close", resolve));
  child.stdout.destroy();
  assert.equal(await text(child.stderr), "");
  assert.equal(await exitCode, 0);
});
