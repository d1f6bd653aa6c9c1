import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { RequestView } from "../../model/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { toCommandFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { outcomeText } from "../render_request.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import { renderTable } from "../table.ts";
import type { Terminal } from "../terminal.ts";

/**
 * Builds the command that lists a customer's requests.
 *
 * @example
 * ```ts
 * const command = createRequestsCommand(terminal);
 * ```
 */
export function createRequestsCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "requests",
      "Lists the customer's requests in the domains that the instance owns",
      ["samphirestage requests"],
    ),
    args: connectionArguments,
    run: (context) => runRemote(terminal, context, listRequests),
  });
}

async function listRequests(client: ApiClient): Promise<CommandResult> {
  const list = await client.list();
  if (list.isErr()) return err(toCommandFault(list.error));
  return ok({
    data: list.value,
    text: renderRequests(list.value.requests),
    exitCode: exitCodes.ok,
  });
}

function renderRequests(requests: RequestView[]): string {
  return renderTable([
    { heading: "REQUEST", cell: ({ id }) => id },
    {
      heading: "TASKS",
      align: "right",
      cell: ({ tasks }) => `${tasks.length}`,
    },
    { heading: "OUTCOME", cell: ({ outcome }) => outcomeText(outcome) },
  ], requests);
}
