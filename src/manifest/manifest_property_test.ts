import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import fc from "fast-check";
import { repositoryFile } from "../cli/testing/golden_file.ts";
import { checkManifest, diffManifests } from "./mod.ts";

const SEED = 20_261_204;
const RUNS = 2_000;
const PATH = repositoryFile("examples/press/manifest.json");

type Container = Record<string, unknown> | unknown[];

/** Lists every object and array within a JSON value. */
function containersOf(value: unknown): Container[] {
  if (typeof value !== "object" || value === null) return [];
  return [value as Container, ...Object.values(value).flatMap(containersOf)];
}

/** Replaces the value of one key, selected by an index over all keys. */
function replaceValueAt(manifest: unknown, at: number, to: unknown): void {
  const positions = containersOf(manifest).flatMap((container) =>
    Object.keys(container).map((key) => ({ container, key }))
  );
  const { container, key } = positions[at % positions.length]!;
  Object.assign(container, { [key]: to });
}

test("manifest: any JSON value is accepted or rejected with faults", () => {
  fc.assert(
    fc.property(fc.jsonValue(), (json) => {
      const checked = checkManifest(json);
      if (checked.isErr()) assert.ok(checked.error.length > 0);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("manifest: a replaced value is rejected or listed as a difference", () => {
  const text = readFileSync(PATH, "utf8");
  const before = checkManifest(JSON.parse(text))._unsafeUnwrap();
  fc.assert(
    fc.property(fc.nat(), fc.jsonValue(), (at, to) => {
      const json = JSON.parse(text);
      replaceValueAt(json, at, to);
      const checked = checkManifest(json);
      if (checked.isErr()) {
        assert.ok(checked.error.every(({ path }) => path.startsWith("$")));
        return;
      }
      const isSame = JSON.stringify(json) === JSON.stringify(JSON.parse(text));
      const differences = diffManifests(before, checked.value);
      assert.equal(differences.length === 0, isSame);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
