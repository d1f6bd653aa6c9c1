/**
 * Validates manifests through the library, as a build step would: prints what
 * the next manifest changes, and every error of an invalid one.
 *
 * @module
 */
import {
  checkManifest,
  diffManifests,
  formatManifestDifferences,
  formatManifestFaults,
} from "samphirestage";

const SHARE = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 };
const PROOF = {
  name: "proof",
  policy: { kind: "batch" },
  urgency: 8,
  idempotent: true,
  demand: { cpuMillis: 2_000, memoryMb: 4_096, accelerators: 0 },
  durationMs: 400,
};

const before = checkManifest(buildManifest("order-desk", PROOF));
const after = checkManifest(buildManifest("order-desk", {
  ...PROOF,
  urgency: 9,
}));
if (before.isOk() && after.isOk()) {
  console.log(
    formatManifestDifferences(diffManifests(before.value, after.value)),
  );
}

const invalid = checkManifest(buildManifest("order-dsk", {
  ...PROOF,
  demand: { ...PROOF.demand, accelerators: 1 },
}));
if (invalid.isErr()) console.log(formatManifestFaults(invalid.error));

function buildManifest(customer: string, work: object): unknown {
  const agreement = { name: "proofs", customer, share: SHARE, work: [work] };
  return { customers: [{ name: "order-desk" }], agreements: [agreement] };
}
