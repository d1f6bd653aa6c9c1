import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { InstanceView } from "../../api/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { toCommandFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { addUnanswered } from "../add_unanswered.ts";
import {
  gatherResponses,
  type InstanceEndpoint,
  listPeers,
} from "../instances.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import { renderFields, renderTable } from "../table.ts";
import type { Terminal } from "../terminal.ts";

/**
 * Builds the command that shows the status of an instance and its peers.
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
      "Shows an instance, and the manifest version on it and its peers",
      ["samphirestage status --url http://10.1.0.11:8001"],
    ),
    args: connectionArguments,
    run: (context) => runRemote(terminal, context, showStatus),
  });
}

async function showStatus(client: ApiClient): Promise<CommandResult> {
  const response = await client.status();
  if (response.isErr()) return err(toCommandFault(response.error));
  const status = response.value;
  const peers = listPeers(status);
  const gathered = await gatherResponses(
    client,
    peers,
    (peer) => peer.status(),
  );
  const statuses = [status, ...gathered.responses.map(({ value }) => value)];
  const unansweredInstances = gathered.unanswered.map(({ instance }) =>
    instance
  );
  const report = {
    data: { ...status, instances: statuses.map(summarizeStatus) },
    text: renderStatus(status, statuses, unansweredInstances),
    exitCode: exitCodes.ok,
  };
  return ok(addUnanswered(report, gathered.unanswered));
}

/** The fields of an instance's status that `--json` shows for each instance. */
function summarizeStatus(status: InstanceView): object {
  const { members: _members, ...summary } = status;
  return summary;
}

function renderStatus(
  status: InstanceView,
  statuses: InstanceView[],
  unanswered: InstanceEndpoint[],
): string {
  const fields = renderFields([
    ["instance", nameOf(status)],
    ["zone", status.zone],
    ["state", stateText(status)],
    ["manifest", manifestRolloutText(status, statuses, unanswered)],
  ]);
  const instances = renderTable([
    { heading: "INSTANCE", cell: nameOf },
    { heading: "ZONE", cell: ({ zone }) => zone },
    { heading: "STATE", cell: stateText },
    { heading: "MANIFEST", cell: ({ version }) => formatVersion(version) },
    {
      heading: "DOMAINS",
      align: "right",
      cell: ({ domains }) => `${domains.length}`,
    },
    { heading: "URL", cell: ({ url }) => url },
  ], statuses);
  const domains = statuses.flatMap((owner) =>
    owner.domains.map((domain) => ({ ...domain, owner: nameOf(owner) }))
  );
  return `${fields}\n\n${instances}\n\n${renderDomains(domains)}`;
}

type DomainRow = InstanceView["domains"][number] & { owner: string };

function renderDomains(domains: DomainRow[]): string {
  return renderTable([
    { heading: "DOMAIN", cell: ({ partition }) => `${partition}` },
    { heading: "OWNER", cell: ({ owner }) => owner },
    { heading: "EPOCH", align: "right", cell: ({ epoch }) => `${epoch}` },
    { heading: "WORKERS", align: "right", cell: ({ workers }) => `${workers}` },
    { heading: "JOBS", align: "right", cell: ({ jobs }) => `${jobs}` },
    { heading: "QUEUED", align: "right", cell: ({ queued }) => `${queued}` },
    { heading: "RUNNING", align: "right", cell: ({ running }) => `${running}` },
    {
      heading: "STORE SILENT",
      align: "right",
      cell: ({ storeSilentMs }) => `${storeSilentMs} ms`,
    },
  ], domains);
}

/** Renders the version on an instance, and which peers have it in force. */
function manifestRolloutText(
  { version }: InstanceView,
  statuses: InstanceView[],
  unanswered: InstanceEndpoint[],
): string {
  const otherVersions = statuses.filter((status) => status.version !== version);
  const sameVersionCount = statuses.length - otherVersions.length;
  const instanceCount = statuses.length + unanswered.length;
  const parts = [
    formatVersion(version),
    `on ${sameVersionCount} of ${instanceCount} instances`,
    ...otherVersions.map((status) => `not on ${nameOf(status)}`),
    ...unanswered.map(({ name }) => `not known of ${name}`),
  ];
  return parts.join(", ");
}

function nameOf({ instance, incarnation }: InstanceView): string {
  return `${instance}/${incarnation}`;
}

function stateText(status: InstanceView): string {
  if (status.leaving) return "leaving";
  return status.ready ? "ready" : "not ready";
}

function formatVersion(version: number): string {
  return version < 0 ? "none" : `version ${version}`;
}
