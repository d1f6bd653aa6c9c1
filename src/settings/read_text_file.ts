import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";

/**
 * Reads a file of UTF-8 text to its end.
 *
 * @example
 * ```ts
 * readTextFile("missing.ini"); // err("ENOENT")
 * ```
 *
 * @param file a path, or the number of an open file
 * @returns the text, or the cause where the file cannot be read
 */
export function readTextFile(file: string | number): Result<string, string> {
  try {
    return ok(readFileSync(file, "utf8"));
  } catch (error) {
    return err(describeError(error));
  }
}

/**
 * Names the cause of an error of the file system in a word, or of another
 * error in its own words.
 *
 * @example
 * ```ts
 * causeOf(error); // "ENOENT"
 * ```
 */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return "code" in error ? String(error.code) : error.message;
}
