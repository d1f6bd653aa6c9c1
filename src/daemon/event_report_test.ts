import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { eventReports } from "./event_report.ts";

const EVENT_NAME = /note\(\s*scheduler,\s*((?:[^,()]+\? )?)("[a-z.A-Z]+")/g;

test("event reports: every event that the instance notes is reported", () => {
  const folder = fileURLToPath(new URL("../instance", import.meta.url));
  const files = readdirSync(folder).filter((name) => name.endsWith(".js"));
  const names = files.flatMap((file) => {
    const text = readFileSync(join(folder, file), "utf8");
    return [...text.matchAll(EVENT_NAME)].map((match) =>
      (match[2] ?? "").replaceAll('"', "")
    );
  });
  assert.ok(names.length > 20);
  const missing = names.filter((name) => eventReports[name] === undefined);
  assert.deepEqual(missing, []);
});
