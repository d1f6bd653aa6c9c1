import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import type * as v from "valibot";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { assertGoldenSection } from "../cli/testing/golden_section.ts";
import { eventReports } from "../daemon/event_report.ts";
import { allowedText } from "./read_section.ts";
import { metricsSection, sections } from "./sections.ts";

/** The keys of which one must be given; the page says so in its own words. */
const EITHER_KEYS = ["secret", "secret_file"];

const page = readFileSync(repositoryFile("docs/OPERATING.md"), "utf8");

function rowOf(key: string, schema: v.GenericSchema): string {
  const row = `| \`${key}\` | ${allowedText(schema)} |`;
  return EITHER_KEYS.includes(key) ? row : `${row} ${defaultOf(schema)} |`;
}

function defaultOf(schema: v.GenericSchema): string {
  if (!("default" in schema)) return "required";
  return schema.default === "" ? "nothing" : String(schema.default);
}

for (
  const [section, schema] of [
    ...Object.entries(sections),
    ["metrics", metricsSection] as const,
  ]
) {
  test(`operators' page: section [${section}] is as the schema has it`, () => {
    const start = page.indexOf(`### \`[${section}]\``);
    assert.ok(start >= 0, "the section has a heading");
    const end = page.indexOf("\n## ", start);
    const text = page.slice(start, end);
    const entries: Record<string, v.GenericSchema> = schema.entries;
    for (const [key, value] of Object.entries(entries)) {
      const row = rowOf(key, value);
      assert.ok(text.includes(row), `the page lacks: ${row}`);
    }
  });
}

test("operators' page: every event is listed", () => {
  const rows = Object.entries(eventReports).map(([name, report]) =>
    `| \`${name}\` | ${report.part} | ${report.level} | ${report.sentence} |`
  );
  const table = [
    "| event | part | level | log entry |",
    "| --- | --- | --- | --- |",
    ...rows,
  ];
  const text = `\n${table.join("\n")}\n\n`;
  assertGoldenSection("docs/OPERATING.md", "events", text);
});
