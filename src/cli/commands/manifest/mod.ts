/**
 * The group of commands for manifests.
 *
 * @module
 */
import { defineCommand } from "citty";
import { describeCommand } from "../../command_meta.ts";
import type { Terminal } from "../../terminal.ts";
import { createCheckCommand } from "./check.ts";
import { createDiffCommand } from "./diff.ts";
import { createHistoryCommand } from "./history.ts";
import { createInForceCommand } from "./in_force.ts";
import { createPublishCommand } from "./publish.ts";
import { createSchemaCommand } from "./schema.ts";

/**
 * Builds the group of commands for manifests.
 *
 * @example
 * ```ts
 * const command = createManifestCommand(terminal);
 * ```
 */
export function createManifestCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "manifest",
      "Checks, compares and publishes manifests",
      ["samphirestage manifest check manifest.json"],
    ),
    subCommands: {
      check: createCheckCommand(terminal),
      diff: createDiffCommand(terminal),
      schema: createSchemaCommand(terminal),
      publish: createPublishCommand(terminal),
      history: createHistoryCommand(terminal),
      "in-force": createInForceCommand(terminal),
    },
  });
}
