import { DAY_MS } from "../base/mod.ts";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import {
  MAX_TASKS_PER_REQUEST,
  type Submission,
  submissionSchema,
} from "../model/mod.ts";
import {
  type CommandFault,
  commandFault,
  usageFault,
} from "./command_fault.ts";
import { exitCodes } from "./exit_codes.ts";
import { parseJsonFlag, readJsonInputFile } from "./input_files.ts";
import { parseIntegerFlag } from "./integer_flag.ts";
import type { Terminal } from "./terminal.ts";

/** The parsed flags of `submit` that describe the work. */
export type SubmissionFlags = {
  file?: string | undefined;
  agreement?: string | undefined;
  work?: string | undefined;
  tasks: string;
  payload?: string | undefined;
  "deadline-ms"?: string | undefined;
};

/**
 * Builds a submission from the flags: either the content of a file, or a
 * number of identical tasks of one kind of work.
 *
 * @example
 * ```ts
 * const submission = buildSubmission(terminal, args);
 * ```
 */
export function buildSubmission(
  terminal: Terminal,
  flags: SubmissionFlags,
): Result<Submission, CommandFault> {
  if (flags.file !== undefined) return readSubmissionFile(terminal, flags.file);
  const { agreement, work } = flags;
  if (agreement === undefined || work === undefined) {
    return err(usageFault("Give --agreement and --work, or --file."));
  }
  const deadlineFlag = flags["deadline-ms"];
  const payload = flags.payload === undefined
    ? ok(undefined)
    : parseJsonFlag("--payload", flags.payload);
  const taskCount = parseIntegerFlag(
    "--tasks",
    flags.tasks,
    1,
    MAX_TASKS_PER_REQUEST,
  );
  const deadlineMs = deadlineFlag === undefined
    ? ok(undefined)
    : parseIntegerFlag("--deadline-ms", deadlineFlag, 1, DAY_MS);
  if (payload.isErr()) return err(payload.error);
  if (taskCount.isErr()) return err(taskCount.error);
  if (deadlineMs.isErr()) return err(deadlineMs.error);
  return ok({
    agreement,
    work,
    tasks: identicalTasks(taskCount.value, payload.value),
    ...(deadlineMs.value === undefined ? {} : { deadlineMs: deadlineMs.value }),
  });
}

function identicalTasks(count: number, payload: unknown): Submission["tasks"] {
  const task = payload === undefined ? {} : { payload };
  return Array.from({ length: count }, () => task);
}

function readSubmissionFile(
  terminal: Terminal,
  path: string,
): Result<Submission, CommandFault> {
  const { submissionInvalid } = diagnostics;
  const json = readJsonInputFile(terminal, path, submissionInvalid);
  return json.andThen((value) => {
    const parsed = v.safeParse(submissionSchema, value);
    if (parsed.success) return ok(parsed.output);
    return err(invalidSubmission(parsed.issues[0]));
  });
}

/** Builds the fault of a file whose content does not match its schema. */
export function invalidSubmission(issue: v.BaseIssue<unknown>): CommandFault {
  const { submissionInvalid } = diagnostics;
  const location = v.getDotPath(issue) ?? "the top level";
  const cause = issue.message.replace(/\.$/, "");
  return commandFault(exitCodes.usage, submissionInvalid, location, cause);
}
