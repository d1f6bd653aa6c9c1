import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { ManifestChange } from "../../../manifest/mod.ts";
import type { ApiClient } from "../../api_client.ts";
import { toCommandFault } from "../../command_fault.ts";
import { describeCommand } from "../../command_meta.ts";
import { connectionArguments } from "../../connection.ts";
import { exitCodes } from "../../exit_codes.ts";
import { type CommandResult, runRemote } from "../../run_command.ts";
import { renderTable } from "../../table.ts";
import type { Terminal } from "../../terminal.ts";
import { formatTime } from "../../units.ts";

/**
 * Builds the command that lists the published manifest changes.
 *
 * @example
 * ```ts
 * const command = createHistoryCommand(terminal);
 * ```
 */
export function createHistoryCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "history",
      "Lists the published changes of the manifest",
      ["samphirestage manifest history"],
    ),
    args: connectionArguments,
    run: (context) => runRemote(terminal, context, showHistory),
  });
}

async function showHistory(client: ApiClient): Promise<CommandResult> {
  const history = await client.manifestHistory();
  if (history.isErr()) return err(toCommandFault(history.error));
  return ok({
    data: history.value,
    text: renderChanges(history.value.versions),
    exitCode: exitCodes.ok,
  });
}

function renderChanges(changes: ManifestChange[]): string {
  return renderTable([
    { heading: "VERSION", align: "right", cell: ({ version }) => `${version}` },
    { heading: "PUBLISHED", cell: ({ atMs }) => formatTime(atMs) },
    { heading: "AUTHOR", cell: ({ author }) => author },
    { heading: "CHANGE", cell: ({ changeId }) => changeId },
  ], changes);
}
