import { DAY_MS } from "../../base/mod.ts";
import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { ApiClient } from "../api_client.ts";
import { awaitRequest, MAX_WAIT_PER_CALL_MS } from "../await_request.ts";
import { toCommandFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { parseIntegerFlag } from "../integer_flag.ts";
import { reportRequest } from "../render_request.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import type { Terminal } from "../terminal.ts";

type ReadFlags = { id: string; "wait-ms": string };

/**
 * Builds the command that reads the outcome of a request, or waits for it.
 *
 * @example
 * ```ts
 * const command = createReadCommand(terminal);
 * ```
 */
export function createReadCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "read",
      "Reads the outcome of a request, or waits for it",
      [
        "samphirestage read kigali.kigali-1.i4.17.kq3v0Zb1m8Qw2xYa",
        "samphirestage read --wait-ms 60000 kigali.kigali-1.i4.17.kq3v0Zb1m8Qw2xYa",
      ],
    ),
    args: {
      ...connectionArguments,
      id: {
        type: "positional",
        required: true,
        description: "Id of the request",
      },
      "wait-ms": {
        type: "string",
        default: "0",
        description: "How long to wait for the outcome, in milliseconds",
      },
    },
    run: (context) =>
      runRemote(
        terminal,
        context,
        (client) => readRequest(client, context.args),
      ),
  });
}

async function readRequest(
  client: ApiClient,
  flags: ReadFlags,
): Promise<CommandResult> {
  const waitMs = parseIntegerFlag("--wait-ms", flags["wait-ms"], 0, DAY_MS);
  if (waitMs.isErr()) return err(waitMs.error);
  const firstWaitMs = Math.min(waitMs.value, MAX_WAIT_PER_CALL_MS);
  const firstView = await client.read(flags.id, firstWaitMs);
  if (firstView.isErr()) return err(toCommandFault(firstView.error));
  const remainingMs = waitMs.value - firstWaitMs;
  const lastView = await awaitRequest(client, firstView.value, remainingMs);
  if (lastView.isErr()) return err(toCommandFault(lastView.error));
  return ok(reportRequest(lastView.value));
}
