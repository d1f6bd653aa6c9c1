import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import type * as v from "valibot";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { describeAllowedValues } from "./read_section.ts";
import { sections } from "./sections.ts";

const page = readFileSync(repositoryFile("docs/OPERATING.md"), "utf8");

function rowOf(key: string, schema: v.GenericSchema): string {
  return `| \`${key}\` | ${describeAllowedValues(schema)} | ${
    defaultOf(schema)
  } |`;
}

function defaultOf(schema: v.GenericSchema): string {
  if (!("default" in schema)) return "required";
  return schema.default === "" ? "nothing" : String(schema.default);
}

for (const [section, schema] of Object.entries(sections)) {
  test(`operators' page: section [${section}] is as the schema has it`, () => {
    const start = page.indexOf(`### \`[${section}]\``);
    assert.ok(start >= 0, "the section has a heading");
    const end = page.indexOf("\n##", start + 1);
    const text = page.slice(start, end);
    const entries: Record<string, v.GenericSchema> = schema.entries;
    for (const [key, value] of Object.entries(entries)) {
      const row = rowOf(key, value);
      assert.ok(text.includes(row), `the page lacks: ${row}`);
    }
    const rows = text.match(/^\| `/gm) ?? [];
    assert.equal(rows.length, Object.keys(entries).length);
  });
}
