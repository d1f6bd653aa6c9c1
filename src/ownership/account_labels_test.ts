import assert from "node:assert/strict";
import { it } from "node:test";
import { createAccountLabels } from "./account_labels.ts";

it("labels of accounts stay few, however many accounts there are", () => {
  const labels = createAccountLabels();
  const names = Array.from({ length: 20_000 }, (_, index) => `a${index}`);
  assert.equal(new Set(names.map(labels.of)).size, 11);
  assert.equal(labels.of("a3"), "a3");
  assert.equal(labels.of("a19999"), "");
});
