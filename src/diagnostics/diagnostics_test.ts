import assert from "node:assert/strict";
import { test } from "node:test";
import { diagnostics, formatDiagnostic } from "./mod.ts";

test("diagnostics: every number is used once", () => {
  const codes = Object.values(diagnostics).map((row) => row.code);
  assert.equal(new Set(codes).size, codes.length);
});

test("diagnostics: a template is filled in order", () => {
  assert.equal(
    formatDiagnostic(diagnostics.callTimedOut, "worker-3", 1500),
    "worker-3 did not answer within 1500 ms.",
  );
});
