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
 * Builds the command that explains why a request waits, or where it ran.
 *
 * @example
 * ```ts
 * const command = createExplainCommand(terminal);
 * ```
 */
export function createExplainCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "explain",
      "Explains why a request waits, or where it ran",
      ["samphirestage explain kigali.kigali-1.i4.17.kq3v0Zb1m8Qw2xYa"],
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
        (client) => explainRequest(client, context.args.id),
      ),
  });
}

async function explainRequest(
  client: ApiClient,
  id: string,
): Promise<CommandResult> {
  const explanation = await client.explain(id);
  if (explanation.isErr()) return err(toCommandFault(explanation.error));
  return ok({
    data: explanation.value,
    text: explanation.value.lines.join("\n"),
    exitCode: exitCodes.ok,
  });
}
