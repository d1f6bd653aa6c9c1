import type { Result } from "neverthrow";

/** Environment variables by name. */
export type Environment = Record<string, string | undefined>;

/** The standard streams, environment and interrupt signal of a command. */
export type Terminal = {
  /** Writes text to the standard output, without adding a line break. */
  write(text: string): void;
  /** Writes text to the standard error output, without adding a line break. */
  writeError(text: string): void;
  /** Reads all standard input; the error is a cause such as `EISDIR`. */
  readInput(): Result<string, string>;
  environment: Environment;
  /** Aborts when the user interrupts the command. */
  signal: AbortSignal;
};
