import process from "node:process";
import { readTextFile } from "../settings/mod.ts";
import type { Terminal } from "./terminal.ts";

const STANDARD_INPUT_FD = 0;

/**
 * Builds the terminal of this process. The first SIGINT aborts its signal.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(process.argv.slice(2), processTerminal());
 * ```
 */
export function processTerminal(): Terminal {
  const interruption = new AbortController();
  process.once("SIGINT", () => interruption.abort());
  process.stdout.on("error", ignoreClosedPipe);
  process.stderr.on("error", ignoreClosedPipe);
  return {
    write: (text) => void process.stdout.write(text),
    writeError: (text) => void process.stderr.write(text),
    readInput: () => readTextFile(STANDARD_INPUT_FD),
    environment: process.env,
    signal: interruption.signal,
  };
}

/** The reader of a pipe, such as `head`, may close it before all is written. */
function ignoreClosedPipe(error: Error & { code?: string }): void {
  if (error.code !== "EPIPE") throw error;
}
