import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { InstanceStatus, Member } from "../answers/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { callFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { shouldAnswer } from "../instances.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import { renderFields, renderTable } from "../table.ts";
import type { Terminal } from "../terminal.ts";

/**
 * Builds the command that shows an instance and the peers that it sees.
 *
 * @example
 * ```ts
 * const command = createStatusCommand(terminal);
 * ```
 */
export function createStatusCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "status",
      "Shows an instance and the peers that it sees",
      ["samphirestage status --url http://10.1.0.11:8001"],
    ),
    args: connectionArguments,
    run: (context) => runRemote(terminal, context, showStatus),
  });
}

async function showStatus(client: ApiClient): Promise<CommandResult> {
  const status = await client.status();
  if (status.isErr()) return err(callFault(status.error));
  return ok({
    data: status.value,
    text: renderStatus(status.value),
    exitCode: exitCodes.ok,
  });
}

function renderStatus(status: InstanceStatus): string {
  const fields = renderFields([
    ["instance", `${status.instance}/${status.incarnation}`],
    ["zone", status.zone],
    ["state", stateText(status)],
    ["manifest", manifestText(status)],
    ["log", status.logReachable ? "reachable" : "unreachable"],
    ["workers", `${status.workers}`],
    ["queued", `${status.queued}`],
    ["running", `${status.running}`],
    ["barred", status.barred.join(", ") || "none"],
  ]);
  const instances = renderTable([
    {
      heading: "INSTANCE",
      cell: ({ id, incarnation }) => `${id}/${incarnation}`,
    },
    { heading: "ZONE", cell: ({ zone }) => zone },
    { heading: "STATE", cell: ({ state }) => state },
    { heading: "MANIFEST", cell: ({ version }) => formatVersion(version) },
    { heading: "URL", cell: ({ url }) => url },
  ], [memberOf(status), ...status.members]);
  return `${fields}\n\n${instances}`;
}

/** Shows the instance itself like one of its peers. */
function memberOf(status: InstanceStatus): Member {
  const { instance: id, incarnation, zone, url, version } = status;
  return { id, incarnation, zone, url, version, state: stateText(status) };
}

/** Tells the version, and which instances have it as the peers last said. */
function manifestText({ version, members }: InstanceStatus): string {
  if (version < 0) return formatVersion(version);
  const peers = members.filter(shouldAnswer);
  const same = peers.filter((peer) => peer.version === version);
  const others = peers.filter((peer) => peer.version !== version);
  const counts = `on ${same.length + 1} of ${peers.length + 1} instances`;
  const text = `${formatVersion(version)}, ${counts}`;
  if (others.length === 0) return text;
  return `${text}, not on ${others.map(({ id }) => id).join(", ")}`;
}

function stateText(status: InstanceStatus): string {
  if (status.leaving) return "leaving";
  return status.ready ? "ready" : "not ready";
}

function formatVersion(version: number): string {
  return version < 0 ? "none" : `version ${version}`;
}
