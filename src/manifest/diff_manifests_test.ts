import assert from "node:assert/strict";
import { test } from "node:test";
import type { Manifest, WorkKind } from "../model/mod.ts";
import { diffManifests, formatManifestDifferences } from "./mod.ts";

const PROOF: WorkKind = {
  name: "proof",
  policy: { kind: "batch" },
  service: "default",
  urgency: 8,
  idempotent: true,
  durable: false,
  demand: { cpuMillis: 1000, memoryMb: 512, accelerators: 0 },
  durationMs: 400,
};
const BEFORE: Manifest = {
  customers: [{ name: "desk" }, { name: "parish", title: "Parish" }],
  agreements: [{
    name: "proofs",
    customer: "desk",
    share: { cpuMillis: 8000, memoryMb: 8192, accelerators: 0 },
    work: [PROOF],
  }],
};

test("diff: the order of named items does not matter", () => {
  const after = { ...BEFORE, customers: BEFORE.customers.toReversed() };
  assert.deepEqual(diffManifests(BEFORE, after), []);
});

test("diff: additions, removals and changes are listed by path", () => {
  const after: Manifest = {
    customers: [{ name: "desk", title: "Ordering desk" }],
    agreements: [{
      name: "proofs",
      customer: "desk",
      share: { cpuMillis: 9000, memoryMb: 8192, accelerators: 0 },
      work: [
        { ...PROOF, policy: { kind: "gang", holdMs: 5000 } },
        { ...PROOF, name: "layout" },
      ],
    }],
  };
  assert.equal(
    formatManifestDifferences(diffManifests(BEFORE, after)),
    `~ agreements/proofs/share/cpuMillis: 8000 -> 9000
+ agreements/proofs/work/layout
+ agreements/proofs/work/proof/policy/holdMs: 5000
~ agreements/proofs/work/proof/policy/kind: "batch" -> "gang"
+ customers/desk/title: "Ordering desk"
- customers/parish`,
  );
});
