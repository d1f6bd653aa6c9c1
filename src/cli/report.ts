import type { ExitCode } from "./exit_codes.ts";

/** What a command that was carried out has to say. */
export type Report = {
  /** The data that `--json` prints. */
  data: unknown;
  /** The text for a person, without the last line break. */
  text: string;
  exitCode: ExitCode;
};
