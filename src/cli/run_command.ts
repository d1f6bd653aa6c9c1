import { err, type Result } from "neverthrow";
import { type ApiClient, createApiClient } from "./api_client.ts";
import type { CommandFault } from "./command_fault.ts";
import { type ConnectionFlags, readConnection } from "./connection.ts";
import type { ExitCode } from "./exit_codes.ts";
import { checkInvocation, type Invocation } from "./invocation.ts";
import type { Report } from "./report.ts";
import type { Terminal } from "./terminal.ts";

/** The report of a command, or the fault that prevented it. */
export type CommandResult = Result<Report, CommandFault>;

/** The output flags that every command accepts. */
export type OutputFlags = { json?: boolean | undefined };

/**
 * Runs a command that needs no connection to an instance, and prints its
 * report or fault.
 *
 * @example
 * ```ts
 * run: (context) => runLocal(terminal, context, () => checkFile(context.args))
 * ```
 */
export async function runLocal(
  terminal: Terminal,
  invocation: Invocation & { args: OutputFlags },
  execute: () => CommandResult | Promise<CommandResult>,
): Promise<ExitCode> {
  const checked = checkInvocation(invocation);
  const result = checked.isErr() ? err(checked.error) : await execute();
  const isJson = invocation.args.json === true;
  return result.match(
    (report) => printReport(terminal, report, isJson),
    (fault) => printFault(terminal, fault, isJson),
  );
}

/**
 * Runs a command with a client of an entry instance, and prints its report or
 * fault. The client is closed before this returns.
 *
 * @example
 * ```ts
 * run: (context) => runRemote(terminal, context, showStatus)
 * ```
 */
export function runRemote(
  terminal: Terminal,
  invocation: Invocation & { args: OutputFlags & ConnectionFlags },
  execute: (client: ApiClient) => Promise<CommandResult>,
): Promise<ExitCode> {
  return runLocal(terminal, invocation, async () => {
    const connection = readConnection(invocation.args, terminal.environment);
    if (connection.isErr()) return err(connection.error);
    const client = createApiClient(connection.value, terminal.signal);
    try {
      return await execute(client);
    } finally {
      await client.close();
    }
  });
}

/**
 * Prints a fault to the standard error output, as text or as JSON.
 *
 * @example
 * ```ts
 * const exitCode = printFault(terminal, usageFault("..."), false);
 * ```
 *
 * @returns the exit code of the fault
 */
export function printFault(
  terminal: Terminal,
  fault: CommandFault,
  isJson: boolean,
): ExitCode {
  if (isJson) {
    const { exitCode: _, ...error } = fault;
    terminal.writeError(formatJson({ error }));
    return fault.exitCode;
  }
  writeFault(terminal, fault);
  return fault.exitCode;
}

function writeFault(terminal: Terminal, fault: CommandFault): void {
  const { code, message, details = [] } = fault;
  terminal.writeError(`samphirestage: ${message} (SS${code})\n`);
  for (const line of details) terminal.writeError(`  ${line}\n`);
}

function printReport(
  terminal: Terminal,
  report: Report,
  isJson: boolean,
): ExitCode {
  if (isJson) {
    terminal.write(formatJson(report.data));
    return report.exitCode;
  }
  if (report.text !== "") terminal.write(`${report.text}\n`);
  for (const warning of report.warnings ?? []) writeFault(terminal, warning);
  return report.exitCode;
}

function formatJson(data: unknown): string {
  return `${JSON.stringify(data, undefined, 2)}\n`;
}
