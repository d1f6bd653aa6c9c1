import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import type * as v from "valibot";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { describeAllowedValues } from "./read_section.ts";
import { sections } from "./sections.ts";

const page = readFileSync(repositoryFile("docs/OPERATING.md"), "utf8");

function formatRow(key: string, schema: v.GenericSchema): string {
  return `| \`${key}\` | ${describeAllowedValues(schema)} | ${
    formatDefault(schema)
  } |`;
}

function formatDefault(schema: v.GenericSchema): string {
  if (!("default" in schema)) return "required";
  return schema.default === "" ? "nothing" : String(schema.default);
}

for (const [section, schema] of Object.entries(sections)) {
  test(`operating page: section [${section}] lists the keys of its schema`, () => {
    const start = page.indexOf(`### \`[${section}]\``);
    assert.ok(start >= 0, "the section has a heading");
    const end = page.indexOf("\n##", start + 1);
    const text = page.slice(start, end);
    const entries: Record<string, v.GenericSchema> = schema.entries;
    for (const [key, value] of Object.entries(entries)) {
      const row = formatRow(key, value);
      assert.ok(text.includes(row), `the page lacks: ${row}`);
    }
    const rows = text.match(/^\| `/gm) ?? [];
    assert.equal(rows.length, Object.keys(entries).length);
  });
}
