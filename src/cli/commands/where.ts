import { defineCommand } from "citty";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import {
  type PlacementQuestion,
  placementQuestionSchema,
} from "../../api/mod.ts";
import { diagnostics } from "../../diagnostics/mod.ts";
import type { ApiClient } from "../api_client.ts";
import {
  type CommandFault,
  toCommandFault,
  usageFault,
} from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { readJsonInputFile } from "../input_files.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import {
  buildSubmission,
  invalidSubmission,
  type SubmissionFlags,
} from "../submission_flags.ts";
import type { Terminal } from "../terminal.ts";

type WhereFlags = SubmissionFlags & {
  queue?: string | undefined;
  account?: string | undefined;
};

/**
 * Builds the command that explains where work would go, without submitting it.
 *
 * @example
 * ```ts
 * const command = createWhereCommand(terminal);
 * ```
 */
export function createWhereCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "where",
      "Explains where work would go now, without submitting it",
      [
        "samphirestage where --agreement order-desk --work proof",
        "samphirestage where --queue proofs --account parish-7 --file steps.json",
      ],
    ),
    args: {
      ...connectionArguments,
      agreement: {
        type: "string",
        description: "Agreement that the work counts toward",
      },
      work: { type: "string", description: "Kind of work" },
      tasks: {
        type: "string",
        default: "1",
        description: "Number of identical tasks",
      },
      queue: {
        type: "string",
        description: "Queue of the configuration, in place of an agreement",
      },
      account: {
        type: "string",
        description: "Client account that would submit to the queue",
      },
      file: {
        type: "string",
        description:
          "JSON file with the submission, or with the steps for a queue; - for standard input",
      },
    },
    run: (context) =>
      runRemote(
        terminal,
        context,
        (client) => explainPlacement(terminal, client, context.args),
      ),
  });
}

async function explainPlacement(
  terminal: Terminal,
  client: ApiClient,
  flags: WhereFlags,
): Promise<CommandResult> {
  const question = buildQuestion(terminal, flags);
  if (question.isErr()) return err(question.error);
  const answer = await client.where(question.value);
  if (answer.isErr()) return err(toCommandFault(answer.error));
  return ok({
    data: answer.value,
    text: answer.value.lines.join("\n"),
    exitCode: exitCodes.ok,
  });
}

function buildQuestion(
  terminal: Terminal,
  flags: WhereFlags,
): Result<PlacementQuestion, CommandFault> {
  const { queue, account, file } = flags;
  if (queue === undefined) {
    if (account !== undefined) return err(usageFault("Give --queue, too."));
    return buildSubmission(terminal, flags).map((submission) => ({
      kind: "submission",
      submission,
    }));
  }
  if (file === undefined) return err(usageFault("Give --file with the steps."));
  const { submissionInvalid } = diagnostics;
  return readJsonInputFile(terminal, file, submissionInvalid).andThen(
    (steps) => {
      const question = { kind: "job", queue, clientAccount: account, steps };
      const parsed = v.safeParse(placementQuestionSchema, question);
      if (parsed.success) return ok(parsed.output);
      return err(invalidSubmission(parsed.issues[0]));
    },
  );
}
