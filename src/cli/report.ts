import type { CommandFault } from "./command_fault.ts";
import type { ExitCode } from "./exit_codes.ts";

/** What a command that was carried out has to say. */
export type Report = {
  /** The data that `--json` prints. */
  data: unknown;
  /** The text for a person, without the last line break. */
  text: string;
  /** What is missing; printed to the standard error output, unless as JSON. */
  warnings?: CommandFault[];
  exitCode: ExitCode;
};
