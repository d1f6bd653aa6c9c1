import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import {
  diffManifests,
  formatManifestDifferences,
} from "../../../manifest/mod.ts";
import type { Manifest } from "../../../model/mod.ts";
import type { ApiClient } from "../../api_client.ts";
import { toCommandFault } from "../../command_fault.ts";
import { describeCommand } from "../../command_meta.ts";
import { connectionArguments } from "../../connection.ts";
import { exitCodes } from "../../exit_codes.ts";
import { readManifestFile } from "../../read_manifest_file.ts";
import type { Report } from "../../report.ts";
import { type CommandResult, runLocal, runRemote } from "../../run_command.ts";
import type { Terminal } from "../../terminal.ts";

/**
 * Builds the command that lists the differences between two manifests.
 *
 * @example
 * ```ts
 * const command = createDiffCommand(terminal);
 * ```
 */
export function createDiffCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "diff",
      "Lists what a manifest changes, against another or the one in force",
      [
        "samphirestage manifest diff manifest.json",
        "samphirestage manifest diff manifest.json --before old.json",
      ],
    ),
    args: {
      ...connectionArguments,
      file: {
        type: "positional",
        required: true,
        description: "JSON file with the manifest",
      },
      before: {
        type: "string",
        description: "Compare with this file, not with the one in force",
        valueHint: "file",
      },
    },
    run: (context) => {
      const { before, file } = context.args;
      if (before === undefined) {
        return runRemote(
          terminal,
          context,
          (client) => diffWithInForce(terminal, client, file),
        );
      }
      return runLocal(
        terminal,
        context,
        () => diffFiles(terminal, before, file),
      );
    },
  });
}

async function diffWithInForce(
  terminal: Terminal,
  client: ApiClient,
  file: string,
): Promise<CommandResult> {
  const after = readManifestFile(terminal, file);
  if (after.isErr()) return err(after.error);
  const inForce = await client.manifestInForce();
  if (inForce.isErr()) return err(toCommandFault(inForce.error));
  return ok(reportDifferences(inForce.value.manifest, after.value));
}

function diffFiles(
  terminal: Terminal,
  beforeFile: string,
  afterFile: string,
): CommandResult {
  const before = readManifestFile(terminal, beforeFile);
  const after = readManifestFile(terminal, afterFile);
  if (before.isErr()) return err(before.error);
  return after.map((manifest) => reportDifferences(before.value, manifest));
}

function reportDifferences(before: Manifest, after: Manifest): Report {
  const differences = diffManifests(before, after);
  const text = formatManifestDifferences(differences);
  return {
    data: { changes: differences },
    text: text === "" ? "No changes." : text,
    exitCode: exitCodes.ok,
  };
}
