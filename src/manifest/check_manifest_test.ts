import assert from "node:assert/strict";
import { test } from "node:test";
import { checkManifest, formatManifestFaults } from "./mod.ts";

const SHARE = { cpuMillis: 8000, memoryMb: 8192, accelerators: 0 };
const PROOF = {
  name: "proof",
  policy: { kind: "batch" },
  urgency: 8,
  idempotent: true,
  demand: { cpuMillis: 1000, memoryMb: 512, accelerators: 0 },
  durationMs: 400,
};
const AGREEMENT = {
  name: "proofs",
  customer: "desk",
  share: SHARE,
  work: [PROOF],
};
const MANIFEST = { customers: [{ name: "desk" }], agreements: [AGREEMENT] };

function faultsOf(json: unknown): string[] {
  const checked = checkManifest(json);
  assert.ok(checked.isErr(), "the manifest should be rejected");
  return formatManifestFaults(checked.error)
    .replaceAll("SS1101: The manifest is invalid at ", "")
    .split("\n");
}

test("manifest: defaults are filled in", () => {
  const manifest = checkManifest(MANIFEST)._unsafeUnwrap();
  assert.equal(manifest.agreements[0]?.work[0]?.durable, false);
});

test("manifest: every schema fault is reported with its path", () => {
  const work = { ...PROOF, urgency: 10, name: "Proof", idempotnt: true, x: 1 };
  const { durationMs: _, ...shortWork } = PROOF;
  const json = {
    customers: [{ name: "desk" }],
    agreements: [
      { ...AGREEMENT, work: [work, shortWork] },
      { ...AGREEMENT, share: { ...SHARE, memoryMb: -1 }, work: [] },
    ],
    "customers-2": [],
  };
  assert.deepEqual(faultsOf(json), [
    "$.agreements[0].work[0].idempotnt: this key is not known.",
    '$["customers-2"]: this key is not known.',
    "$.agreements[0].work[0].x: this key is not known.",
    '$.agreements[0].work[0].name: "Proof" is given; allowed: /^[a-z0-9][a-z0-9-]{0,62}$/.',
    "$.agreements[0].work[0].urgency: 10 is given; allowed: <=9.",
    "$.agreements[0].work[1].durationMs: this key is missing.",
    "$.agreements[1].share.memoryMb: -1 is given; allowed: >=0.",
    "$.agreements[1].work: 0 is given; allowed: >=1.",
  ]);
});

test("manifest: values that are not objects are rejected", () => {
  assert.deepEqual(faultsOf([]), [
    "$.customers: this key is missing.",
    "$.agreements: this key is missing.",
  ]);
  assert.deepEqual(faultsOf("text"), ['$: "text" is given; allowed: Object.']);
});

test("manifest: duplicate names and unknown customers are rejected", () => {
  const json = {
    customers: [{ name: "desk" }, { name: "desk" }],
    agreements: [
      { ...AGREEMENT, work: [PROOF, PROOF] },
      { ...AGREEMENT, customer: "dsk" },
    ],
  };
  assert.deepEqual(faultsOf(json), [
    '$.customers[1].name: the name "desk" is used twice.',
    '$.agreements[1].name: the name "proofs" is used twice.',
    '$.agreements[0].work[1].name: the name "proof" is used twice.',
    '$.agreements[1].customer: there is no customer "dsk".',
  ]);
});

test("manifest: implausible demands and demands above the share are rejected", () => {
  const demand = { cpuMillis: 2, memoryMb: 536_870_912, accelerators: 1 };
  const json = {
    ...MANIFEST,
    agreements: [{ ...AGREEMENT, work: [{ ...PROOF, demand }] }],
  };
  assert.deepEqual(faultsOf(json), [
    "$.agreements[0].work[0].demand.cpuMillis: 2 thousandths of a core is implausible; allowed: at least 10.",
    "$.agreements[0].work[0].demand.memoryMb: 536870912 MiB is implausible; allowed: 1 to 16777216.",
    "$.agreements[0].work[0].demand.memoryMb: one task needs 536870912, more than the whole share of 8192.",
    "$.agreements[0].work[0].demand.accelerators: one task needs 1, more than the whole share of 0.",
  ]);
});
