import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";

const MAX_OUTPUT_CHARS = 16_000_000;

/** A program of this project that runs as a child process. */
export type Program = {
  name: string;
  /** Process id; undefined if the process could not be started. */
  pid: number | undefined;
  /** Standard output and error so far, up to a size limit. */
  output(): string;
  hasExited(): boolean;
  /**
   * Resolves with the exit code, the name of the terminating signal, or the
   * error message if the process could not be started.
   */
  exited: Promise<number | string>;
  signal(name: NodeJS.Signals): void;
};

/**
 * Starts a compiled program with Node.js.
 *
 * @param name name of the program in error messages
 * @param path the compiled file
 * @param argumentList arguments of the program
 */
export function startProgram(
  name: string,
  path: string,
  argumentList: string[],
): Program {
  const child = spawn(process.execPath, [path, ...argumentList], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  const chunks: string[] = [];
  let length = 0;
  const appendOutput = (chunk: string) => {
    if (length > MAX_OUTPUT_CHARS) return;
    length += chunk.length;
    chunks.push(chunk);
  };
  child.stdout.setEncoding("utf8").on("data", appendOutput);
  child.stderr.setEncoding("utf8").on("data", appendOutput);
  return {
    name,
    pid: child.pid,
    output: () => chunks.join(""),
    hasExited: () => child.exitCode !== null || child.signalCode !== null,
    exited: waitForExit(child),
    signal: (signalName) => {
      child.kill(signalName);
    },
  };
}

/**
 * Stops a program with SIGTERM, or with SIGKILL once the grace period is over.
 *
 * @param graceMs grace period, in milliseconds
 */
export async function endProgram(
  program: Program,
  graceMs: number,
): Promise<void> {
  if (program.hasExited()) return;
  // A process paused by SIGSTOP handles SIGTERM only after it is resumed.
  program.signal("SIGCONT");
  program.signal("SIGTERM");
  const timer = setTimeout(() => program.signal("SIGKILL"), graceMs);
  await program.exited;
  clearTimeout(timer);
}

function waitForExit(child: ChildProcess): Promise<number | string> {
  return new Promise((resolve) => {
    child.once("error", (error) => resolve(error.message));
    child.once("close", (code, signal) => resolve(code ?? signal ?? "unknown"));
  });
}
