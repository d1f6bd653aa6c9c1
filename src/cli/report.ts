import type { CommandFault } from "./command_fault.ts";
import type { ExitCode } from "./exit_codes.ts";

/** The output and exit code of a command that completed. */
export type Report = {
  /** The data that `--json` prints. */
  data: unknown;
  /** The human-readable text, without a trailing line break. */
  text: string;
  /** Printed to the standard error output; omitted with `--json`. */
  warnings?: CommandFault[];
  exitCode: ExitCode;
};
