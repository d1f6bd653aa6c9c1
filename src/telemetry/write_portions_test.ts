import assert from "node:assert/strict";
import { test } from "node:test";
import { joinIntoPortions } from "./write_portions.ts";

// Guards against entries of busy seconds that a reader of the log cuts off.
test("log writes: no write is longer than a pipe takes at once", () => {
  const entries = Array.from(
    { length: 500 },
    (_, index) => `${"é".repeat(index % 300)}${index}\n`,
  );
  const portions = [...joinIntoPortions(entries)];
  assert.ok(portions.length > 1);
  assert.ok(portions.every((portion) => portion.length <= 4_096));
  assert.equal(portions.join(""), entries.join(""));
  assert.ok(portions.every((portion) => portion.at(-1) === 0x0a));
});

test("log writes: a longer entry is written alone", () => {
  const long = `${"x".repeat(10_000)}\n`;
  const portions = [...joinIntoPortions(["a\n", long, "b\n"])].map(String);
  assert.deepEqual(portions, ["a\n", long, "b\n"]);
});
