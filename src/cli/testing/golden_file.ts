import assert from "node:assert/strict";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** If this variable is 1, golden files are rewritten instead of compared. */
const UPDATE_VARIABLE = "SAMPHIRESTAGE_UPDATE_BASELINES";

/** The root of the repository, relative to this file once compiled. */
const ROOT = new URL("../../../../", import.meta.url);

/**
 * Compares text with a committed golden file.
 *
 * @example
 * ```ts
 * assertGolden("docs/manifest.schema.json", rendered);
 * ```
 *
 * @param path path of the golden file, relative to the root of the repository
 * @throws an assertion error if the text differs, or ENOENT if the file is
 * missing
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
 * Resolves a path in the repository, independent of the working directory.
 *
 * @example
 * ```ts
 * readFileSync(repositoryFile("examples/press/manifest.json"));
 * ```
 */
export function repositoryFile(path: string): string {
  return fileURLToPath(new URL(path, ROOT));
}
