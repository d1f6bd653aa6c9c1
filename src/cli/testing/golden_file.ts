import assert from "node:assert/strict";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** Set to 1, golden files are written anew in place of being compared. */
const UPDATE_VARIABLE = "SAMPHIRESTAGE_UPDATE_BASELINES";

/** The root of the repository, seen from the compiled file. */
const ROOT = new URL("../../../../", import.meta.url);

/**
 * Compares text with a committed golden file.
 *
 * @example
 * ```ts
 * assertGolden("docs/manifest.schema.json", rendered);
 * ```
 *
 * @param path the golden file, from the root of the repository
 * @throws an assertion error where the text differs or the file is missing
 */
export function assertGolden(path: string, actual: string): void {
  const file = repositoryFile(path);
  if (process.env[UPDATE_VARIABLE] === "1") {
    mkdirSync(dirname(file), { recursive: true });
    writeFileSync(file, actual);
    return;
  }
  assert.equal(actual, readFileSync(file, "utf8"), `${path} differs`);
}

/**
 * Finds a file of the repository, from wherever the compiled tests run.
 *
 * @example
 * ```ts
 * readFileSync(repositoryFile("examples/press/manifest.json"));
 * ```
 */
export function repositoryFile(path: string): string {
  return fileURLToPath(new URL(path, ROOT));
}
