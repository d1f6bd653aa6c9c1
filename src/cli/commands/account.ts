import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import {
  parseMonth,
  renderAccountCsv,
  renderAccountTable,
} from "../../account/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { toCommandFault, usageFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import type { Terminal } from "../terminal.ts";

type AccountFlags = { month: string; csv?: boolean | undefined };

/**
 * Builds the command that shows the resources used and agreed in a month.
 *
 * @example
 * ```ts
 * const command = createAccountCommand(terminal);
 * ```
 */
export function createAccountCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "account",
      "Shows what each agreement used in a month, against what was agreed",
      [
        "samphirestage account --month 2026-04",
        "samphirestage account --month 2026-04 --csv > april.csv",
      ],
    ),
    args: {
      ...connectionArguments,
      month: {
        type: "string",
        required: true,
        description: "Year and month in UTC",
        valueHint: "YYYY-MM",
      },
      csv: { type: "boolean", description: "Print the rows as CSV" },
    },
    run: (context) =>
      runRemote(
        terminal,
        context,
        (client) => showAccount(client, context.args),
      ),
  });
}

async function showAccount(
  client: ApiClient,
  flags: AccountFlags,
): Promise<CommandResult> {
  const { month } = flags;
  if (parseMonth(month) === undefined) {
    return err(usageFault(`--month is "${month}"; allowed: YYYY-MM.`));
  }
  const account = await client.account(month);
  if (account.isErr()) return err(toCommandFault(account.error));
  const render = flags.csv === true ? renderAccountCsv : renderAccountTable;
  return ok({
    data: account.value,
    text: render(account.value).trimEnd(),
    exitCode: exitCodes.ok,
  });
}
