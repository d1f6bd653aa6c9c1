import type { Result } from "neverthrow";

/** Variables of the environment by name. */
export type Environment = Record<string, string | undefined>;

/** Where a command reads from and writes to. */
export type Terminal = {
  /** Writes text to the standard output as it is. */
  write(text: string): void;
  /** Writes text to the standard error output as it is. */
  writeError(text: string): void;
  /** Reads the standard input to its end; an error is its cause in a word. */
  readInput(): Result<string, string>;
  environment: Environment;
  /** Aborts when the user interrupts the command. */
  signal: AbortSignal;
};
