import * as v from "valibot";
import {
  type DiagnosticMessage,
  diagnostics,
  formatDiagnostic,
} from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { type ExitCode, exitCodes } from "./exit_codes.ts";
import { problemSchema } from "./problem.ts";

/** The error that a failed command reports. */
export type CommandFault = {
  exitCode: ExitCode;
  /** Number of the diagnostic. */
  code: number;
  /** A message of one line; `details` holds further lines. */
  message: string;
  details?: string[];
  /** False if an instance reported that nothing ran. */
  ran?: false;
};

/**
 * Builds the fault for an invalid command line.
 *
 * @example
 * ```ts
 * usageFault("--month must look like 2026-04.");
 * ```
 */
export function usageFault(message: string): CommandFault {
  const { usageInvalid } = diagnostics;
  return {
    exitCode: exitCodes.usage,
    code: usageInvalid.code,
    message: formatDiagnostic(usageInvalid, message),
  };
}

/**
 * Builds a fault from a diagnostic and the values of its placeholders.
 *
 * @example
 * ```ts
 * commandFault(exitCodes.usage, diagnostics.manifestUnreadable, path, cause);
 * ```
 */
export function commandFault(
  exitCode: ExitCode,
  diagnostic: DiagnosticMessage,
  ...values: (string | number)[]
): CommandFault {
  const message = formatDiagnostic(diagnostic, ...values);
  return { exitCode, code: diagnostic.code, message };
}

/**
 * Converts the fault of a call to an instance into the fault of a command.
 *
 * @example
 * ```ts
 * const status = await client.status();
 * if (status.isErr()) return err(toCommandFault(status.error));
 * ```
 */
export function toCommandFault(fault: Fault): CommandFault {
  const { code, message } = fault;
  const base = { exitCode: exitCodeOfCall(fault), code, message };
  const saysNothingRan = fault.kind === "refused" &&
    v.is(problemSchema, fault.data) && fault.data.ran === false;
  return saysNothingRan ? { ...base, ran: false } : base;
}

function exitCodeOfCall(fault: Fault): ExitCode {
  if (fault.kind !== "refused") return exitCodes.unreachable;
  const isConflict = fault.code === diagnostics.manifestConflict.code;
  return isConflict ? exitCodes.manifestConflict : exitCodes.refused;
}
