import assert from "node:assert/strict";
import { test } from "node:test";
import { diagnostics, formatDiagnostic } from "./mod.ts";

test("diagnostics: each code is unique", () => {
  const codes = Object.values(diagnostics).map((diagnostic) => diagnostic.code);
  assert.equal(new Set(codes).size, codes.length);
});

test("diagnostics: arguments fill the template in order", () => {
  assert.equal(
    formatDiagnostic(diagnostics.callTimedOut, "worker-3", 1500),
    "worker-3 did not answer within 1500 ms.",
  );
});
