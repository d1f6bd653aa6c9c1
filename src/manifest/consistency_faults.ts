import {
  type Agreement,
  fitsInto,
  type Manifest,
  RESOURCE_NAMES,
  type Resources,
  type WorkKind,
} from "../model/mod.ts";
import {
  type ManifestFault,
  manifestFault,
  type PathSegment,
} from "./manifest_fault.ts";

/** A smaller demand probably gives whole cores instead of thousandths. */
const MIN_CPU_MILLIS = 10;
/** A larger demand probably gives bytes or KiB instead of MiB. */
const MAX_MEMORY_MB = 16_777_216;

/**
 * Checks the consistency of a manifest that fits its schema: lists duplicate
 * names, unknown customers, implausible demands and demands above the share.
 *
 * @example
 * ```ts
 * const faults = [...consistencyFaults(manifest)];
 * ```
 */
export function* consistencyFaults(
  manifest: Manifest,
): Generator<ManifestFault> {
  yield* duplicateNameFaults(manifest.customers, ["customers"]);
  yield* duplicateNameFaults(manifest.agreements, ["agreements"]);
  const customers = new Set(manifest.customers.map(({ name }) => name));
  for (const [index, agreement] of manifest.agreements.entries()) {
    yield* agreementFaults(agreement, ["agreements", index], customers);
  }
}

function* agreementFaults(
  agreement: Agreement,
  path: PathSegment[],
  customers: Set<string>,
): Generator<ManifestFault> {
  if (!customers.has(agreement.customer)) {
    const cause = `there is no customer "${agreement.customer}"`;
    yield manifestFault([...path, "customer"], cause);
  }
  yield* duplicateNameFaults(agreement.work, [...path, "work"]);
  for (const [index, work] of agreement.work.entries()) {
    yield* demandFaults(work, [...path, "work", index, "demand"], agreement);
  }
}

function* demandFaults(
  work: WorkKind,
  path: PathSegment[],
  agreement: Agreement,
): Generator<ManifestFault> {
  const { cpuMillis, memoryMb } = work.demand;
  if (cpuMillis < MIN_CPU_MILLIS) {
    const cause = `${cpuMillis} thousandths of a core is implausible; ` +
      `allowed: at least ${MIN_CPU_MILLIS}`;
    yield manifestFault([...path, "cpuMillis"], cause);
  }
  if (memoryMb < 1 || memoryMb > MAX_MEMORY_MB) {
    const cause = `${memoryMb} MiB is implausible; ` +
      `allowed: 1 to ${MAX_MEMORY_MB}`;
    yield manifestFault([...path, "memoryMb"], cause);
  }
  if (!fitsInto(work.demand, agreement.share)) {
    yield* exceededShareFaults(work.demand, agreement.share, path);
  }
}

function* exceededShareFaults(
  demand: Resources,
  share: Resources,
  path: PathSegment[],
): Generator<ManifestFault> {
  for (const name of RESOURCE_NAMES) {
    if (demand[name] <= share[name]) continue;
    const cause = `one task needs ${demand[name]}, ` +
      `more than the whole share of ${share[name]}`;
    yield manifestFault([...path, name], cause);
  }
}

function* duplicateNameFaults(
  items: { name: string }[],
  path: PathSegment[],
): Generator<ManifestFault> {
  const seen = new Set<string>();
  for (const [index, { name }] of items.entries()) {
    if (seen.has(name)) {
      const cause = `the name "${name}" is used twice`;
      yield manifestFault([...path, index, "name"], cause);
    }
    seen.add(name);
  }
}
