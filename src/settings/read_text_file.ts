import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";

/**
 * Reads a UTF-8 text file.
 *
 * @example
 * ```ts
 * readTextFile("missing.ini"); // err("ENOENT")
 * ```
 *
 * @param file a path, or the descriptor of an open file
 * @returns the text, or the error code if the file cannot be read
 */
export function readTextFile(file: string | number): Result<string, string> {
  try {
    return ok(readFileSync(file, "utf8"));
  } catch (error) {
    return err(describeError(error));
  }
}

/**
 * Describes an error by its code, such as that of a file system error, or else
 * by its message.
 *
 * @example
 * ```ts
 * describeError(error); // "ENOENT"
 * ```
 */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return "code" in error ? String(error.code) : error.message;
}
