import { defineCommand } from "citty";
import type { Manifest } from "../../../model/mod.ts";
import { describeCommand } from "../../command_meta.ts";
import { outputArguments } from "../../connection.ts";
import { exitCodes } from "../../exit_codes.ts";
import { readManifestFile } from "../../read_manifest_file.ts";
import type { Report } from "../../report.ts";
import { runLocal } from "../../run_command.ts";
import type { Terminal } from "../../terminal.ts";

/**
 * Builds the command that checks a manifest without publishing it.
 *
 * @example
 * ```ts
 * const command = createCheckCommand(terminal);
 * ```
 */
export function createCheckCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "check",
      "Checks a manifest and lists every error in it",
      ["samphirestage manifest check examples/press/manifest.json"],
    ),
    args: {
      ...outputArguments,
      file: {
        type: "positional",
        required: true,
        description: "JSON file with the manifest; - for standard input",
      },
    },
    run: (context) =>
      runLocal(terminal, context, () => {
        const { file } = context.args;
        const manifest = readManifestFile(terminal, file);
        return manifest.map((value) => reportValid(file, value));
      }),
  });
}

function reportValid(file: string, manifest: Manifest): Report {
  const customers = manifest.customers.length;
  const agreements = manifest.agreements.length;
  const workKinds = manifest.agreements.flatMap(({ work }) => work).length;
  return {
    data: { valid: true, customers, agreements, workKinds },
    text: `${file} is valid: ${customers} customers, ` +
      `${agreements} agreements, ${workKinds} kinds of work.`,
    exitCode: exitCodes.ok,
  };
}
