import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { ApiClient } from "../api_client.ts";
import { toCommandFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { reportRequest } from "../render_request.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import type { Terminal } from "../terminal.ts";

/**
 * Builds the command that cancels a request.
 *
 * @example
 * ```ts
 * const command = createCancelCommand(terminal);
 * ```
 */
export function createCancelCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "cancel",
      "Cancels a request: waiting tasks are dropped, running tasks are stopped",
      ["samphirestage cancel kigali.kigali-1.i4.17.kq3v0Zb1m8Qw2xYa"],
    ),
    args: {
      ...connectionArguments,
      id: {
        type: "positional",
        required: true,
        description: "Id of the request",
      },
    },
    run: (context) =>
      runRemote(
        terminal,
        context,
        (client) => cancelRequest(client, context.args.id),
      ),
  });
}

async function cancelRequest(
  client: ApiClient,
  id: string,
): Promise<CommandResult> {
  const view = await client.cancel(id);
  if (view.isErr()) return err(toCommandFault(view.error));
  return ok({ ...reportRequest(view.value), exitCode: exitCodes.ok });
}
