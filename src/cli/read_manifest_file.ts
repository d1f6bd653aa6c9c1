import { err, ok, type Result } from "neverthrow";
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import {
  checkManifest,
  formatManifestFaults,
  type ManifestFault,
} from "../manifest/mod.ts";
import type { Manifest } from "../model/mod.ts";
import type { CommandFault } from "./command_fault.ts";
import { exitCodes } from "./exit_codes.ts";
import { readJsonInputFile } from "./input_files.ts";
import type { Terminal } from "./terminal.ts";

/**
 * Reads and checks a manifest file named on the command line.
 *
 * @example
 * ```ts
 * const manifest = readManifestFile(terminal, "manifest.json");
 * ```
 *
 * @returns the manifest, or one fault that lists every error in it
 */
export function readManifestFile(
  terminal: Terminal,
  path: string,
): Result<Manifest, CommandFault> {
  const json = readJsonInputFile(
    terminal,
    path,
    diagnostics.manifestUnreadable,
  );
  if (json.isErr()) return err(json.error);
  const checked = checkManifest(json.value);
  if (checked.isErr()) return err(invalidManifestFault(path, checked.error));
  return ok(checked.value);
}

function invalidManifestFault(
  path: string,
  faults: ManifestFault[],
): CommandFault {
  const { manifestInvalid } = diagnostics;
  const cause = faults.length === 1 ? "1 fault" : `${faults.length} faults`;
  return {
    exitCode: exitCodes.refused,
    code: manifestInvalid.code,
    message: formatDiagnostic(manifestInvalid, path, cause),
    details: formatManifestFaults(faults).split("\n"),
  };
}
