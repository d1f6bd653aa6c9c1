import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { LOG_PARTS } from "./log_part.ts";

const FOLDERS = ["src", "platform"];

/** Returns all non-test sources as one text. */
function readSources(): string {
  return FOLDERS.flatMap((folder) => {
    const path = repositoryFile(folder);
    return readdirSync(path, { recursive: true, encoding: "utf8" })
      .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
      .map((file) => readFileSync(`${path}/${file}`, "utf8"));
  }).join("\n");
}

test("operations page: each listed log message and part exists in the code", () => {
  const page = readFileSync(repositoryFile("docs/OPERATIONS.md"), "utf8");
  const table = page.slice(page.indexOf("| message | part |")).split("\n\n")[0];
  const rows = table?.split("\n").slice(2) ?? [];
  const code = readSources();
  let checked = 0;
  for (const row of rows) {
    const [, messages = "", parts = ""] = row.split("|");
    for (const [, message = ""] of messages.matchAll(/`([^`]+)`/g)) {
      if (message.includes("…")) continue;
      assert.ok(code.includes(`"${message}"`), message);
      checked += 1;
    }
    for (const part of parts.split(",").map((name) => name.trim())) {
      assert.ok((LOG_PARTS as readonly string[]).includes(part), part);
    }
  }
  assert.ok(checked > 20);
});
