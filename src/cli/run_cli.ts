import { type CommandDef, runCommand } from "citty";
import { usageFault } from "./command_fault.ts";
import { type ExitCode, exitCodes } from "./exit_codes.ts";
import { findCommand } from "./find_command.ts";
import { renderHelp } from "./help.ts";
import { createMainCommand } from "./main_command.ts";
import { printFault } from "./run_command.ts";
import type { Terminal } from "./terminal.ts";
import { VERSION } from "./version.ts";

const HELP_FLAGS = ["--help", "-h"];

/**
 * Parses a command line and runs the command that it selects.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(["status", "--json"], terminal);
 * ```
 *
 * @param args the command-line arguments, without the program name
 * @returns the exit code; usage errors are printed, never thrown
 */
export async function runCli(
  args: string[],
  terminal: Terminal,
): Promise<ExitCode> {
  if (args.length === 1 && args[0] === "--version") {
    terminal.write(`${VERSION}\n`);
    return exitCodes.ok;
  }
  const found = findCommand(createMainCommand(terminal), args);
  if (found.kind === "unknown") {
    return printUsageFault(
      terminal,
      args,
      `"${found.name}" is not a known command.`,
    );
  }
  const { command, groups, rest } = found;
  if (rest.some((arg) => HELP_FLAGS.includes(arg))) {
    terminal.write(await renderHelp(command, groups));
    return exitCodes.ok;
  }
  if (command.run === undefined) {
    terminal.writeError(await renderHelp(command, groups));
    return exitCodes.usage;
  }
  return await runParsedCommand(terminal, command, rest);
}

async function runParsedCommand(
  terminal: Terminal,
  command: CommandDef,
  rest: string[],
): Promise<ExitCode> {
  try {
    const { result } = await runCommand(command, { rawArgs: rest });
    return result as ExitCode;
  } catch (error) {
    if (!isUsageError(error)) throw error;
    return printUsageFault(terminal, rest, `${error.message}.`);
  }
}

/** Checks by name, because citty does not export its error class. */
function isUsageError(error: unknown): error is Error {
  return error instanceof Error && error.name === "CLIError";
}

function printUsageFault(
  terminal: Terminal,
  args: string[],
  message: string,
): ExitCode {
  return printFault(terminal, usageFault(message), args.includes("--json"));
}
