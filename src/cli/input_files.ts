import { err, ok, type Result } from "neverthrow";
import type { DiagnosticMessage } from "../diagnostics/mod.ts";
import { describeError, readTextFile } from "../settings/mod.ts";
import {
  type CommandFault,
  commandFault,
  usageFault,
} from "./command_fault.ts";
import { exitCodes } from "./exit_codes.ts";
import type { Terminal } from "./terminal.ts";

const STANDARD_INPUT_PATH = "-";

/**
 * Reads a file named on the command line; `-` means the standard input.
 *
 * @example
 * ```ts
 * const text = readInputFile(terminal, "manifest.json", manifestUnreadable);
 * ```
 *
 * @param diagnostic reported on failure, with the path and the cause
 */
export function readInputFile(
  terminal: Terminal,
  path: string,
  diagnostic: DiagnosticMessage,
): Result<string, CommandFault> {
  const text = path === STANDARD_INPUT_PATH
    ? terminal.readInput()
    : readTextFile(path);
  return text.mapErr((cause) =>
    commandFault(exitCodes.usage, diagnostic, path, cause)
  );
}

/**
 * Reads a JSON file named on the command line; `-` means the standard input.
 *
 * @example
 * ```ts
 * const json = readJsonInputFile(terminal, "-", submissionInvalid);
 * ```
 */
export function readJsonInputFile(
  terminal: Terminal,
  path: string,
  diagnostic: DiagnosticMessage,
): Result<unknown, CommandFault> {
  const text = readInputFile(terminal, path, diagnostic);
  return text.andThen((content) =>
    parseJson(content).mapErr((cause) =>
      commandFault(exitCodes.usage, diagnostic, path, cause)
    )
  );
}

/**
 * Parses a command-line argument as JSON.
 *
 * @example
 * ```ts
 * const payload = parseJsonFlag("--payload", args.payload);
 * ```
 */
export function parseJsonFlag(
  name: string,
  text: string,
): Result<unknown, CommandFault> {
  const json = parseJson(text);
  return json.mapErr(() => usageFault(`${name} is not valid JSON: ${text}`));
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err(describeError(error));
  }
}
