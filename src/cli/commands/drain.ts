import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { ApiClient } from "../api_client.ts";
import { toCommandFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import type { Terminal } from "../terminal.ts";

/**
 * Builds the command that makes an instance hand over its domains and stop.
 *
 * @example
 * ```ts
 * const command = createDrainCommand(terminal);
 * ```
 */
export function createDrainCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "drain",
      "Makes an instance hand over its domains, finish open calls and stop",
      ["samphirestage drain --url http://10.1.0.11:8001"],
    ),
    args: connectionArguments,
    run: (context) => runRemote(terminal, context, drainInstance),
  });
}

async function drainInstance(client: ApiClient): Promise<CommandResult> {
  const response = await client.drain();
  if (response.isErr()) return err(toCommandFault(response.error));
  const { url } = client.connection;
  return ok({
    data: { url, leaving: true },
    text: `${url} hands over and stops.`,
    exitCode: exitCodes.ok,
  });
}
