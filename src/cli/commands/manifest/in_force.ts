import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { ApiClient } from "../../api_client.ts";
import { toCommandFault } from "../../command_fault.ts";
import { describeCommand } from "../../command_meta.ts";
import { connectionArguments } from "../../connection.ts";
import { type ExitCode, exitCodes } from "../../exit_codes.ts";
import { type InstanceEndpoint, listPeers } from "../../instances.ts";
import { type CommandResult, runRemote } from "../../run_command.ts";
import { renderTable } from "../../table.ts";
import type { Terminal } from "../../terminal.ts";

/** The manifest version that an instance reports to have in force. */
type InstanceVersionRow = {
  /** Its id; its address if it did not respond. */
  instance: string;
  /** Absent if the instance did not respond. */
  zone?: string;
  /** Absent if the instance did not respond; -1 for none. */
  version?: number;
};

/**
 * Builds the command that shows the version in force on each instance.
 *
 * @example
 * ```ts
 * const command = createInForceCommand(terminal);
 * ```
 */
export function createInForceCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "in-force",
      "Shows which manifest version is in force on each instance",
      ["samphirestage manifest in-force"],
    ),
    args: connectionArguments,
    run: (context) => runRemote(terminal, context, showVersionsInForce),
  });
}

async function showVersionsInForce(client: ApiClient): Promise<CommandResult> {
  const status = await client.status();
  if (status.isErr()) return err(toCommandFault(status.error));
  const { instance, zone, version } = status.value;
  const rows = await Promise.all(
    listPeers(status.value).map((peer) => readPeerVersion(client, peer)),
  );
  rows.unshift({ instance, zone, version });
  return ok({
    data: { instances: rows },
    text: renderRows(rows),
    exitCode: exitCodeOf(rows),
  });
}

async function readPeerVersion(
  client: ApiClient,
  peer: InstanceEndpoint,
): Promise<InstanceVersionRow> {
  const status = await client.at(peer.url).status();
  return status.match<InstanceVersionRow>(
    ({ instance, zone, version }) => ({ instance, zone, version }),
    () => ({ instance: peer.name }),
  );
}

function exitCodeOf(rows: InstanceVersionRow[]): ExitCode {
  const versions = new Set(rows.map(({ version }) => version));
  const allAgree = versions.size === 1 && !versions.has(undefined);
  return allAgree ? exitCodes.ok : exitCodes.notKnownYet;
}

function renderRows(rows: InstanceVersionRow[]): string {
  return renderTable([
    { heading: "INSTANCE", cell: ({ instance }) => instance },
    { heading: "ZONE", cell: ({ zone }) => zone ?? "" },
    { heading: "IN FORCE", cell: versionText },
  ], rows);
}

function versionText({ version }: InstanceVersionRow): string {
  if (version === undefined) return "no answer";
  return version < 0 ? "none" : `version ${version}`;
}
