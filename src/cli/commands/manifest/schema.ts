import { defineCommand } from "citty";
import { ok } from "neverthrow";
import { manifestJsonSchema } from "../../../manifest/mod.ts";
import { describeCommand } from "../../command_meta.ts";
import { outputArguments } from "../../connection.ts";
import { exitCodes } from "../../exit_codes.ts";
import { runLocal } from "../../run_command.ts";
import type { Terminal } from "../../terminal.ts";

/**
 * Builds the command that prints the JSON Schema of a manifest.
 *
 * @example
 * ```ts
 * const command = createSchemaCommand(terminal);
 * ```
 */
export function createSchemaCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "schema",
      "Prints the JSON Schema of a manifest",
      ["samphirestage manifest schema > manifest.schema.json"],
    ),
    args: outputArguments,
    run: (context) =>
      runLocal(terminal, context, () => {
        const data = manifestJsonSchema();
        const text = JSON.stringify(data, undefined, 2);
        return ok({ data, text, exitCode: exitCodes.ok });
      }),
  });
}
