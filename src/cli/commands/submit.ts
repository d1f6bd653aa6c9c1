import { DAY_MS } from "../../base/mod.ts";
import { defineCommand } from "citty";
import { err, ok, type Result } from "neverthrow";
import type { Fault } from "../../hosts/mod.ts";
import type { RequestView, Submission } from "../../model/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { awaitRequest, MAX_WAIT_PER_CALL_MS } from "../await_request.ts";
import { type CommandFault, toCommandFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { parseIntegerFlag } from "../integer_flag.ts";
import { reportRequest } from "../render_request.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import { buildSubmission, type SubmissionFlags } from "../submission_flags.ts";
import type { Terminal } from "../terminal.ts";

type SubmitFlags = SubmissionFlags & {
  id?: string | undefined;
  key?: string | undefined;
  "wait-ms": string;
};

/**
 * Builds the command that submits work and waits for its outcome.
 *
 * @example
 * ```ts
 * const command = createSubmitCommand(terminal);
 * ```
 */
export function createSubmitCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "submit",
      "Submits work and waits for its outcome",
      [
        `samphirestage submit --agreement order-desk --work proof --payload '{"card": 7}'`,
        "samphirestage submit --file run.json --key run-2026-04-12 --wait-ms 0",
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
        description: "Number of identical tasks to submit",
      },
      payload: { type: "string", description: "Payload of each task, as JSON" },
      file: {
        type: "string",
        description:
          "JSON file with the whole submission; - for standard input",
      },
      "deadline-ms": {
        type: "string",
        description: "How long the work may wait to start, in milliseconds",
      },
      id: {
        type: "string",
        description: "Submit again under an id that was issued before",
      },
      key: {
        type: "string",
        description: "Submit under an idempotency key in place of an id",
      },
      "wait-ms": {
        type: "string",
        default: "10000",
        description: "How long to wait for the outcome, in milliseconds",
      },
    },
    run: (context) =>
      runRemote(
        terminal,
        context,
        (client) => submitWork(terminal, client, context.args),
      ),
  });
}

async function submitWork(
  terminal: Terminal,
  client: ApiClient,
  flags: SubmitFlags,
): Promise<CommandResult> {
  const submission = buildSubmission(terminal, flags);
  if (submission.isErr()) return err(submission.error);
  const waitMs = parseIntegerFlag("--wait-ms", flags["wait-ms"], 0, DAY_MS);
  if (waitMs.isErr()) return err(waitMs.error);
  const firstWaitMs = Math.min(waitMs.value, MAX_WAIT_PER_CALL_MS);
  const firstView = flags.key === undefined
    ? await submitUnderId(client, flags.id, submission.value, firstWaitMs)
    : await submitUnderKey(client, flags.key, submission.value, firstWaitMs);
  if (firstView.isErr()) return err(firstView.error);
  const remainingMs = waitMs.value - firstWaitMs;
  const lastView = await awaitRequest(client, firstView.value, remainingMs);
  if (lastView.isErr()) {
    return err(toSubmitFault(lastView.error, readCommandHint(firstView.value)));
  }
  return ok(reportRequest(lastView.value));
}

async function submitUnderId(
  client: ApiClient,
  givenId: string | undefined,
  submission: Submission,
  waitMs: number,
): Promise<Result<RequestView, CommandFault>> {
  const id = givenId === undefined ? await issueRequestId(client) : ok(givenId);
  if (id.isErr()) return err(id.error);
  const view = await client.submit(id.value, submission, waitMs);
  const hint = `Submit it again with --id ${id.value}; it runs once.`;
  return view.mapErr((fault) => toSubmitFault(fault, hint));
}

async function submitUnderKey(
  client: ApiClient,
  key: string,
  submission: Submission,
  waitMs: number,
): Promise<Result<RequestView, CommandFault>> {
  const view = await client.submitUnderKey(key, submission, waitMs);
  const hint = `Submit it again with --key ${key}; it runs once.`;
  return view.mapErr((fault) => toSubmitFault(fault, hint));
}

async function issueRequestId(
  client: ApiClient,
): Promise<Result<string, CommandFault>> {
  const issued = await client.issue();
  return issued.map(({ id }) => id).mapErr(toCommandFault);
}

function readCommandHint(view: RequestView): string {
  return `Read it with: samphirestage read ${view.id}`;
}

/**
 * Builds the fault of a failed call. If the effect of the call is unknown, the
 * request may run; the fault then says so and how to proceed.
 */
function toSubmitFault(fault: Fault, hint: string): CommandFault {
  const base = toCommandFault(fault);
  if (fault.kind !== "unknown") return base;
  const details = ["It is not known whether the request runs.", hint];
  return { ...base, exitCode: exitCodes.notKnownYet, details };
}
