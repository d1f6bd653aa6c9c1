import { DAY_MS } from "../../base/mod.ts";
import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { ApiClient } from "../api_client.ts";
import { awaitRequest, LONGEST_WAIT_MS } from "../await_request.ts";
import { callFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { readWholeNumber } from "../numbers.ts";
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
  const wait = readWholeNumber("--wait-ms", flags["wait-ms"], 0, DAY_MS);
  if (wait.isErr()) return err(wait.error);
  const firstWaitMs = Math.min(wait.value, LONGEST_WAIT_MS);
  const first = await client.read(flags.id, firstWaitMs);
  if (first.isErr()) return err(callFault(first.error));
  const leftMs = wait.value - firstWaitMs;
  const last = await awaitRequest(client, first.value, leftMs);
  if (last.isErr()) return err(callFault(last.error));
  return ok(reportRequest(last.value));
}
