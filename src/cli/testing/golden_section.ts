import { readFileSync } from "node:fs";
import { assertGolden, repositoryFile } from "./golden_file.ts";

/**
 * Compares a part of a page with the text generated for it. The part stands
 * between two lines, `<!-- name` and `<!-- /name -->`, and is written anew
 * under the same condition as other golden files.
 *
 * @example
 * ```ts
 * assertGoldenSection("docs/OPERATING.md", "events", table);
 * ```
 *
 * @throws an error where the page has no such part, or another text in it
 */
export function assertGoldenSection(
  path: string,
  name: string,
  actual: string,
): void {
  const page = readFileSync(repositoryFile(path), "utf8");
  const opening = page.indexOf(`<!-- ${name}`);
  const start = page.indexOf("\n", opening) + 1;
  const end = page.indexOf(`<!-- /${name} -->`, start);
  if (opening < 0 || end < 0) throw new Error(`${path} has no ${name}`);
  assertGolden(path, page.slice(0, start) + actual + page.slice(end));
}
