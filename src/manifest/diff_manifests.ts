import { compareStrings } from "../base/mod.ts";
import type { Manifest } from "../model/mod.ts";
import type { ManifestDifference } from "./manifest_difference.ts";

type Fields = Record<string, unknown>;

/**
 * Lists the differences between two manifests. Customers, agreements and
 * kinds of work are matched by name, so their order does not matter.
 *
 * @example
 * ```ts
 * diffManifests(inForce, next);
 * // [{ kind: "changed", path: "agreements/proofs/share/cpuMillis", ... }]
 * ```
 *
 * @returns the differences, sorted by path
 */
export function diffManifests(
  before: Manifest,
  after: Manifest,
): ManifestDifference[] {
  const differences = [
    ...diffFields("", indexByName(before), indexByName(after)),
  ];
  return differences.sort((left, right) =>
    compareStrings(left.path, right.path)
  );
}

function* diffFields(
  path: string,
  before: Fields,
  after: Fields,
): Generator<ManifestDifference> {
  for (const key of new Set([...Object.keys(before), ...Object.keys(after)])) {
    const keyPath = path === "" ? key : `${path}/${key}`;
    yield* diffValue(keyPath, before[key], after[key]);
  }
}

function* diffValue(
  path: string,
  before: unknown,
  after: unknown,
): Generator<ManifestDifference> {
  if (before === after) return;
  if (isFields(before) && isFields(after)) {
    yield* diffFields(path, before, after);
  } else if (before === undefined) {
    yield { kind: "added", path, after };
  } else if (after === undefined) {
    yield { kind: "removed", path, before };
  } else {
    yield { kind: "changed", path, before, after };
  }
}

/** Converts lists of named items to objects keyed by name, at any depth. */
function indexByName(value: unknown): Fields {
  const fields: Fields = {};
  for (const [key, item] of namedEntries(value)) {
    const isNested = typeof item === "object" && item !== null;
    fields[key] = isNested ? indexByName(item) : item;
  }
  return fields;
}

function namedEntries(value: unknown): [string, unknown][] {
  if (!Array.isArray(value)) return Object.entries(value as Fields);
  return value.map((item: { name: string }) => {
    const { name, ...rest } = item;
    return [name, rest];
  });
}

function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null;
}
