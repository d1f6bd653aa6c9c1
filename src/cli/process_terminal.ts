import { readFileSync } from "node:fs";
import process from "node:process";
import type { Terminal } from "./terminal.ts";

const STANDARD_INPUT = 0;

/**
 * Builds the terminal of this process.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(process.argv.slice(2), processTerminal());
 * ```
 */
export function processTerminal(): Terminal {
  const interrupted = new AbortController();
  process.once("SIGINT", () => interrupted.abort());
  return {
    write: (text) => void process.stdout.write(text),
    writeError: (text) => void process.stderr.write(text),
    readInput: () => readFileSync(STANDARD_INPUT, "utf8"),
    environment: process.env,
    signal: interrupted.signal,
  };
}
