import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";

const MAX_OUTPUT_CHARS = 16_000_000;

/** A program of the project that runs as a process of its own. */
export type Program = {
  name: string;
  /** Process id, while the process runs. */
  pid: number | undefined;
  /** Everything that it has printed so far, up to a bound. */
  output(): string;
  hasExited(): boolean;
  /** Resolves with the exit code, or the name of the signal that ended it. */
  exited: Promise<number | string>;
  signal(name: NodeJS.Signals): void;
};

/**
 * Starts a compiled program.
 *
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
 * Ends a program by its process id, at last by SIGKILL.
 *
 * @param graceMs how long it may take to end by itself, in milliseconds
 */
export async function endProgram(
  program: Program,
  graceMs: number,
): Promise<void> {
  if (program.hasExited()) return;
  // A stopped process takes the signal only once it goes on.
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
