import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { formatSettingsFaults, readSettings } from "./mod.ts";
import { SECTION_NAMES } from "./read_settings.ts";
import { sections } from "./sections.ts";

const SEED = 20_261_204;
const RUN_COUNT = 2_000;

const keys = Object.values(sections)
  .flatMap((section) => Object.keys(section.entries));
const arbitraryText = fc.oneof(
  fc.string(),
  fc.constantFrom(
    "",
    "true",
    "null",
    "'null'",
    `'{"a":1}'`,
    "'[1,2]'",
    "__proto__",
    "constructor",
    "a.b",
    "[]",
    "=",
  ),
);
const line = fc.oneof(
  fc.tuple(fc.constantFrom(...keys), arbitraryText)
    .map(([key, value]) => `${key} = ${value}`),
  fc.tuple(arbitraryText, arbitraryText).map(([key, value]) =>
    `${key}=${value}`
  ),
  fc.constantFrom(...SECTION_NAMES).map((name) => `[${name}]`),
  arbitraryText.map((name) => `[${name}]`),
  arbitraryText,
);

test("settings: arbitrary text is accepted or rejected with faults, without throwing", () => {
  fc.assert(
    fc.property(fc.array(line, { maxLength: 30 }), (lines) => {
      const text = lines.join("\n");
      readSettings(text, {}, []);
      const read = readSettings(text);
      if (read.isOk()) return;
      assert.ok(read.error.length > 0);
      assert.ok(formatSettingsFaults(read.error).startsWith("SS"));
    }),
    { seed: SEED, numRuns: RUN_COUNT },
  );
});
